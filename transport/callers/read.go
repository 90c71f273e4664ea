package callers

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
)

// readError is the error for a request that could not be read.
type readError struct {
	err error
	// betweenRequests is set if the connection ended before a byte of the request arrived.
	betweenRequests bool
	// tooLarge is set if the request's head exceeds its limit.
	tooLarge bool
}

// Error implements error.
func (e *readError) Error() string { return "read request: " + e.err.Error() }

// Unwrap returns the cause.
func (e *readError) Unwrap() error { return e.err }

// status returns the HTTP status of the response to the request.
func (e *readError) status() int {
	var timeout net.Error
	switch {
	case e.tooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.As(e.err, &timeout) && timeout.Timeout():
		return http.StatusRequestTimeout
	default:
		return http.StatusBadRequest
	}
}

// requestError is the error for a request that violates HTTP/1.1.
type requestError struct {
	// What names the invalid part.
	What string
}

// Error implements error.
func (e *requestError) Error() string { return "malformed request: " + e.What }

// headLimit is the reader of a connection. While a request's head is read, it bounds the
// number of bytes.
type headLimit struct {
	conn      net.Conn
	remaining int // until the limit, in bytes
	limited   bool
	exceeded  bool
}

// limit starts a head of at most n bytes; 0 sets no limit. Since the buffered reader reads ahead of
// the head, connBuffer bytes more are allowed.
func (h *headLimit) limit(n int) {
	h.remaining, h.limited, h.exceeded = n+connBuffer, n > 0, false
}

// unlimited lifts the limit at the end of a head.
func (h *headLimit) unlimited() { h.limited = false }

// Read implements io.Reader.
func (h *headLimit) Read(p []byte) (int, error) {
	if !h.limited {
		return h.conn.Read(p)
	}
	if h.remaining <= 0 {
		h.exceeded = true
		return 0, io.ErrUnexpectedEOF
	}
	n, err := h.conn.Read(p[:min(len(p), h.remaining)])
	h.remaining -= n
	return n, err
}

// hasConnectionClose reports whether the Connection headers contain the token "close".
func hasConnectionClose(h http.Header) bool {
	for _, line := range h["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "close") {
				return true
			}
		}
	}
	return false
}
