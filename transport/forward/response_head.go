package forward

import "net/http"

// minStatus is the lowest status code of HTTP.
const minStatus = 100

// CheckHead returns an error for a response's head that net/http reads although it violates HTTP/1.1. The
// error is a *ProtocolError.
func CheckHead(resp *http.Response) error {
	if resp.StatusCode < minStatus {
		return &ProtocolError{What: "status code"}
	}
	return nil
}
