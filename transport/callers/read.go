package callers

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
)

// readError reports a request that could not be read.
type readError struct {
	err error
	// between is set when the connection ended between two requests.
	between bool
	// tooLarge is set when the head exceeds its limit.
	tooLarge bool
}

// Error implements error.
func (e *readError) Error() string { return "read request: " + e.err.Error() }

// Unwrap returns the cause.
func (e *readError) Unwrap() error { return e.err }

// status returns what the caller is answered.
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

// requestError reports a request that breaks HTTP/1.1.
type requestError struct {
	// What is wrong.
	What string
}

// Error implements error.
func (e *requestError) Error() string { return "malformed request: " + e.What }

// headLimit bounds the bytes read while a head is read.
type headLimit struct {
	conn     net.Conn
	left     int
	limited  bool
	exceeded bool
}

func (h *headLimit) allow(n int) {
	h.left, h.limited, h.exceeded = n+connBuffer, n > 0, false
}

func (h *headLimit) unlimited() { h.limited = false }

// Read implements io.Reader.
func (h *headLimit) Read(p []byte) (int, error) {
	if !h.limited {
		return h.conn.Read(p)
	}
	if h.left <= 0 {
		h.exceeded = true
		return 0, io.ErrUnexpectedEOF
	}
	n, err := h.conn.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

// closes reports whether a Connection header asks for the end.
func closes(h http.Header) bool {
	for _, line := range h["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "close") {
				return true
			}
		}
	}
	return false
}
