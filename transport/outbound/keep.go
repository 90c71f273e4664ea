package outbound

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/jacinthgate/jacinthgate/transport/forward"
)

const (
	// maxBufferedResponse is the largest response that is buffered for the sake of pipelined requests,
	// in bytes.
	maxBufferedResponse = 512 << 10
	// maxBufferedTotal bounds the total of such buffers at any time, in bytes.
	maxBufferedTotal = 4 << 20
)

// followed reports whether further requests are pipelined behind this one and may have been sent. If
// not, later ones wait until the response ends.
func (x *exchange) followed() bool {
	w, ok := x.w.(interface{ StreamUnlessFollowed() bool })
	return ok && !w.StreamUnlessFollowed()
}

// reserveBuffer reserves size bytes to buffer a large response where further requests are
// pipelined behind it: a response truncated after its first byte was sent ends the
// connection, and their responses would be lost with it. It returns false where no buffer is
// needed or the limits are reached.
func (x *exchange) reserveBuffer(size int64) bool {
	if x.reserved+size > maxBufferedResponse || !x.followed() {
		return false
	}
	if x.p.bufferedBytes.Add(size) > maxBufferedTotal {
		x.p.bufferedBytes.Add(-size)
		return false
	}
	x.reserved += size
	return true
}

// releaseBuffer releases the memory reserved for a response.
func (x *exchange) releaseBuffer() {
	x.p.bufferedBytes.Add(-x.reserved)
	x.reserved = 0
}

// readWhole buffers a response body that is no event stream, up to the size that is buffered always,
// or a larger one if memory for it can be reserved: it is then complete before its turn among the
// caller's pipelined requests and can be replaced if it is truncated. Otherwise whole is false, and
// resp.Body is still to be streamed to the caller.
func (x *exchange) readWhole(resp *http.Response) (body []byte, whole bool, err error) {
	size := resp.ContentLength
	switch {
	case forward.IsEventStream(resp):
		return nil, false, nil
	case size > x.p.cfg.MaxBodyBuffer && !x.reserveBuffer(size):
		return nil, false, nil
	case x.r.Method == http.MethodHead:
		return nil, true, forward.ReadExactly(resp.Body, nil)
	case size >= 0:
		body = make([]byte, size)
		return body, true, forward.ReadExactly(resp.Body, body)
	}
	body, whole, err = x.readUnframed(resp.Body)
	if err != nil {
		_ = resp.Body.Close() // reading it has failed
		return nil, true, err
	}
	if !whole || len(resp.Trailer) > 0 {
		resp.Body = rejoinedBody{io.MultiReader(bytes.NewReader(body), resp.Body), resp.Body}
		return nil, false, nil
	}
	_ = resp.Body.Close() // the body was read to its end
	resp.Header["Content-Length"] = []string{strconv.Itoa(len(body))}
	return body, true, nil
}

// readUnframed reads a body of unknown length to its end or to the limit of what is buffered.
func (x *exchange) readUnframed(from io.Reader) (body []byte, whole bool, err error) {
	limit := x.p.cfg.MaxBodyBuffer
	var read bytes.Buffer
	for {
		_, err = io.CopyN(&read, from, limit+1-int64(read.Len()))
		if err != nil {
			return read.Bytes(), true, ignoreEOF(err)
		}
		more := min(limit, maxBufferedResponse-limit)
		if more <= 0 || !x.reserveBuffer(more) {
			return read.Bytes(), false, nil
		}
		limit += more
	}
}

// ignoreEOF returns nil for the regular end of a body.
func ignoreEOF(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

// rejoinedBody reads the buffered prefix of a body and then its remainder.
type rejoinedBody struct {
	io.Reader
	io.Closer
}
