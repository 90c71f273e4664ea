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

// reserveBuffer reserves memory to buffer a large response where further requests are
// pipelined behind it: a response truncated after its first byte was sent ends the
// connection, and their responses would be lost with it. It returns the number of bytes
// reserved; 0 where none are needed or the limits are reached.
func (x *exchange) reserveBuffer(resp *http.Response) int64 {
	size := resp.ContentLength
	w, ok := x.w.(interface{ Followed() bool })
	if !ok || size <= x.p.cfg.MaxBodyBuffer || size > maxBufferedResponse || !w.Followed() {
		return 0
	}
	if x.p.bufferedBytes.Add(size) > maxBufferedTotal {
		x.p.bufferedBytes.Add(-size)
		return 0
	}
	return size
}

// readWhole buffers a response body of up to maxBytes bytes that is no event stream: it is then
// complete before its turn among the caller's pipelined requests and can be replaced if it is
// truncated. Otherwise whole is false, and resp.Body is still to be streamed to the caller.
func (x *exchange) readWhole(resp *http.Response, maxBytes int64) (body []byte, whole bool, err error) {
	switch {
	case forward.IsEventStream(resp), resp.ContentLength > maxBytes:
		return nil, false, nil
	case x.r.Method == http.MethodHead:
		return nil, true, forward.ReadExactly(resp.Body, nil)
	case resp.ContentLength >= 0:
		body = make([]byte, resp.ContentLength)
		return body, true, forward.ReadExactly(resp.Body, body)
	}
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil {
		_ = resp.Body.Close() // reading it has failed
		return nil, true, err
	}
	if int64(len(body)) > maxBytes || len(resp.Trailer) > 0 {
		resp.Body = rejoinedBody{io.MultiReader(bytes.NewReader(body), resp.Body), resp.Body}
		return nil, false, nil
	}
	_ = resp.Body.Close() // the body was read to its end
	resp.Header["Content-Length"] = []string{strconv.Itoa(len(body))}
	return body, true, nil
}

// rejoinedBody reads the buffered prefix of a body and then its remainder.
type rejoinedBody struct {
	io.Reader
	io.Closer
}
