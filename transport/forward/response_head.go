package forward

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// minStatus is the lowest status code of HTTP.
const minStatus = 100

// CheckHead returns an error for a response's head that net/http reads although it violates HTTP/1.1. The
// error is a *ProtocolError.
func CheckHead(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return &ProtocolError{What: "version"}
	case resp.StatusCode < minStatus:
		return &ProtocolError{What: "status code"}
	}
	if err := CheckNames(resp.Header); err != nil {
		return err
	}
	return CheckNames(resp.Trailer) // those announced
}

// CheckNames returns an error for a field name that isn't a token. net/http reads names with blanks, and
// overlooks a framing field whose name ends with one. The error is a *ProtocolError.
func CheckNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &ProtocolError{What: "field name"}
		}
	}
	return nil
}
