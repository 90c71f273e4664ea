package forward

import (
	"net/http"
)

// Send sends req once and returns the response's head. The error is a
// *SendError. w gets the upstream's 1xx responses; nil drops them.
//
// rt should be a *Client. Another RoundTripper may send a request again by
// itself, passes no 1xx response on, and all its failures count as sent.
func Send(rt http.RoundTripper, req *http.Request, w http.ResponseWriter) (*http.Response, error) {
	if c, ok := rt.(*Client); ok {
		return c.send(req, w)
	}
	resp, err := rt.RoundTrip(req)
	if err != nil {
		return nil, &SendError{Sent: true, Err: err}
	}
	return resp, nil
}
