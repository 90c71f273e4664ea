package outbound

import (
	"bytes"
	"io"
	"net/http"

	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// requestBody is the body of a caller's request: kept whole where it is small, so
// that it can be sent again and a slow caller holds no slot, or else a stream.
type requestBody struct {
	whole  []byte
	stream *forward.StreamBody // nil where the body is kept
}

// readBody reads a body of up to most bytes before anything is sent. The error is
// that of reading: the caller broke off.
func readBody(w http.ResponseWriter, r *http.Request, most int64) (requestBody, error) {
	switch {
	case r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0:
		return requestBody{}, nil
	case r.ContentLength > most, r.Header["Expect"] != nil:
		return requestBody{stream: forward.NewStreamBody(w, r)}, nil
	case r.ContentLength < 0:
		return readChunked(w, r, most)
	}
	whole := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, whole)
	return requestBody{whole: whole}, err
}

// readChunked keeps a body of unknown length if it turns out to be small.
func readChunked(w http.ResponseWriter, r *http.Request, most int64) (requestBody, error) {
	head, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	if err != nil || int64(len(head)) <= most {
		return requestBody{whole: head}, err
	}
	rest := r.Body
	r.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(head), rest), rest}
	return requestBody{stream: forward.NewStreamBody(w, r)}, nil
}

// kept reports whether the body can be sent again.
func (b *requestBody) kept() bool { return b.stream == nil }

// source returns what to send, and its length; -1 is not known.
func (b *requestBody) source(r *http.Request) (io.ReadCloser, int64) {
	switch {
	case b.stream != nil:
		return b.stream, r.ContentLength
	case len(b.whole) > 0:
		return forward.NewKeptBody(b.whole), int64(len(b.whole))
	}
	return nil, r.ContentLength
}

// reclaim makes the body ready to be sent again, and reports false where a part
// of a stream is gone.
func (b *requestBody) reclaim() bool {
	if b.stream != nil {
		b.stream = b.stream.Reclaim()
		return b.stream != nil
	}
	return true
}
