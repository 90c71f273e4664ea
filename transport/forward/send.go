package forward

import (
	"net/http"
	"time"
)

// Send sends req once and returns the response's head. The error is a
// *SendError. w gets the upstream's 1xx responses; nil drops them.
//
// rt should be a *Client. Another RoundTripper may send a request again by
// itself, passes no 1xx response on, and all its failures count as sent.
func Send(rt http.RoundTripper, req *http.Request, w http.ResponseWriter) (*http.Response, error) {
	resp, _, err := SendTimed(rt, req, w)
	return resp, err
}

// SendTimed is Send and tells how long the request waited for a connection: the
// time of a handshake where none was idle. That says nothing of how fast the
// server works. It is 0 with a RoundTripper that is no *Client.
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
