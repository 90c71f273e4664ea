package forward

import (
	"io"
	"net/http"
	"strings"
	"sync"
)

// bufferSize is the size of a copy buffer in bytes.
const bufferSize = 32 << 10

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// Relay writes resp to w and closes its body. The headers already set on w are
// kept. Headers that must not be passed on have to be removed from resp.Header
// before the call.
//
// It returns a *TruncatedError if the body ended before it was complete; the
// handler must then panic with http.ErrAbortHandler, so that its caller doesn't
// take the truncated response for a complete one. It returns a *CallerError if
// the response can't be written to the caller.
func Relay(w http.ResponseWriter, resp *http.Response) error {
	defer resp.Body.Close()
	announced := announceTrailers(resp)
	h := w.Header()
	RemoveHopByHop(resp.Header)
	CopyHeader(h, resp.Header)
	if len(announced) > 0 {
		h["Trailer"] = announced
	}
	w.WriteHeader(resp.StatusCode)
	if err := copyBody(w, resp); err != nil {
		return err
	}
	return copyTrailers(w, resp, len(announced))
}

// announceTrailers returns the names of the trailers that resp has announced.
func announceTrailers(resp *http.Response) []string {
	var names []string
	for name := range resp.Trailer {
		names = append(names, name)
	}
	return names
}

// copyTrailers writes the trailers, including those that were not announced.
// announced is the number of those that were.
func copyTrailers(w http.ResponseWriter, resp *http.Response, announced int) error {
	if len(resp.Trailer) == 0 {
		return nil
	}
	// Flushing makes the response chunked, which trailers require.
	if err := http.NewResponseController(w).Flush(); err != nil {
		return &CallerError{Err: err}
	}
	prefix := ""
	if len(resp.Trailer) != announced {
		prefix = http.TrailerPrefix
	}
	h := w.Header()
	for name, values := range resp.Trailer {
		h[prefix+name] = values
	}
	return nil
}

// mustFlush reports whether each part of the body must be passed on on arrival.
func mustFlush(resp *http.Response) bool {
	return resp.ContentLength < 0 || IsEventStream(resp)
}

// IsEventStream reports whether the body is a stream of server-sent events, which must reach the
// receiver without buffering.
func IsEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// copyBody writes the body of resp to w.
func copyBody(w http.ResponseWriter, resp *http.Response) error {
	buf := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(buf)
	flush := mustFlush(resp)
	rc := http.NewResponseController(w)
	if flush {
		if err := rc.Flush(); err != nil {
			return &CallerError{Err: err}
		}
	}
	for {
		n, err := resp.Body.Read(buf[:])
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return &CallerError{Err: werr}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &TruncatedError{Err: err}
		}
		if flush && n > 0 {
			if ferr := rc.Flush(); ferr != nil {
				return &CallerError{Err: ferr}
			}
		}
	}
}

// ReadExactly reads a body of exactly len(p) bytes into p and closes it. It also
// reads the end of the body, which returns the connection to the pool.
func ReadExactly(body io.ReadCloser, p []byte) error {
	_, err := io.ReadFull(body, p)
	if err == nil {
		var beyond [1]byte
		if _, end := body.Read(beyond[:]); end != io.EOF {
			err = io.ErrUnexpectedEOF
		}
	}
	_ = body.Close() // it was read to its end, or has failed
	return err
}

// CountedBody is a body that counts the bytes read from it.
type CountedBody struct {
	io.ReadCloser
	// Received is the number of bytes read so far.
	Received int64
}

// Read implements io.Reader.
func (b *CountedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.Received += int64(n)
	return n, err
}
