package callers

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// check rejects invalid requests that http.ReadRequest accepts and net/http's server
// doesn't. The error is a *requestError.
func check(req *http.Request) error {
	switch {
	case req.ProtoMajor != 1:
		return &requestError{What: "protocol " + req.Proto}
	case req.Host == "" && req.ProtoAtLeast(1, 1), !httpguts.ValidHostHeader(req.Host):
		return &requestError{What: "host"}
	case req.Method == http.MethodConnect:
		return &requestError{What: "method CONNECT"}
	}
	for name, values := range req.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &requestError{What: "header name"}
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return &requestError{What: "value of " + name}
			}
		}
	}
	return nil
}
