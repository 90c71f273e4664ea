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
// kept; the caller removes from resp.Header what must not be passed on.
//
// It returns a *TruncatedError when the upstream broke off, after which the
// handler must panic with http.ErrAbortHandler so that its caller doesn't take
// the part for the whole, and a *CallerError when the caller can't be written
// to.
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

func announceTrailers(resp *http.Response) []string {
	var names []string
	for name := range resp.Trailer {
		names = append(names, name)
	}
	return names
}

// copyTrailers writes the trailers, those that were not announced included.
func copyTrailers(w http.ResponseWriter, resp *http.Response, announced int) error {
	if len(resp.Trailer) == 0 {
		return nil
	}
	// Flushing makes the response chunked, which trailers need.
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

// streams reports whether parts of the body must be passed on as they come.
func streams(resp *http.Response) bool {
	return resp.ContentLength < 0 || IsEventStream(resp)
}

// IsEventStream reports whether the body is a sequence of server-sent events, each of which its
// receiver waits for.
func IsEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

func copyBody(w http.ResponseWriter, resp *http.Response) error {
	buf := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(buf)
	flush := streams(resp)
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

// ReadWhole reads a body that must end after len(p) bytes, and closes it. The
// end is read too: it gives the connection back.
func ReadWhole(body io.ReadCloser, p []byte) error {
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

// CountedBody counts what is read of a body.
type CountedBody struct {
	io.ReadCloser
	// Received is what was read so far, in bytes.
	Received int64
}

// Read implements io.Reader.
func (b *CountedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.Received += int64(n)
	return n, err
}
