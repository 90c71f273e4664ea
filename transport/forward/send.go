package forward

import (
	"net/http"
	"time"
)

// Send sends req once and returns the response; its body is still to be read. The
// error is a *SendError. The server's 1xx responses are written to w, or dropped
// if w is nil.
//
// rt should be a *Client. Another RoundTripper may itself retry a request and
// passes on no 1xx response, and each of its failures counts as sent.
func Send(rt http.RoundTripper, req *http.Request, w http.ResponseWriter) (*http.Response, error) {
	resp, _, err := SendTimed(rt, req, w)
	return resp, err
}

// SendTimed is like Send and also returns how long it took to get a connection:
// the time of the handshake if no connection was idle. This time is not part of
// the server's response time. It is 0 if rt is not a *Client.
func SendTimed(rt http.RoundTripper, req *http.Request, w http.ResponseWriter) (*http.Response, time.Duration, error) {
	if c, ok := rt.(*Client); ok {
		return c.send(req, w)
	}
	if body, ok := req.Body.(*StreamBody); ok {
		body.open()
	}
	resp, err := rt.RoundTrip(req)
	if err != nil {
		return nil, 0, &SendError{Sent: true, Err: err}
	}
	return resp, 0, nil
}
