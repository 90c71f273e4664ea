package forward

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// trip is one request on its connection, until the response's body has ended.
type trip struct {
	client *Client
	conn   *clientConn
	req    *http.Request
	w      http.ResponseWriter // gets 1xx responses; may be nil
	start  int64               // bytes written before the request
	stop   func() bool         // ends the watch over the context

	// upload is set while another goroutine sends the body.
	upload *upload
	body   io.ReadCloser // the response's, below the trip itself
	err    error         // what reading the body ended with
	// spoiled keeps the connection from being used again.
	spoiled bool
}

// past is a deadline that ends all reading and writing.
var past = time.Unix(1, 0)

func newTrip(c *Client, conn *clientConn, req *http.Request, w http.ResponseWriter) *trip {
	x := &trip{client: c, conn: conn, req: req, w: w, start: conn.raw.count()}
	x.stop = context.AfterFunc(req.Context(), x.abort)
	return x
}

// abort ends all reading and writing of the connection.
func (x *trip) abort() { _ = x.conn.conn.SetDeadline(past) } // a closed one needs none

// run writes the request and reads the response's head.
func (x *trip) run() (*http.Response, error) {
	if err := x.write(); err != nil {
		return nil, err
	}
	resp, err := x.read()
	if err != nil {
		return nil, err
	}
	if x.upload != nil {
		x.upload.answered()
	}
	x.conn.idleLimit = statedIdle(resp.Header)
	if resp.Body == http.NoBody {
		x.end(!resp.Close)
		return resp, nil
	}
	x.body = resp.Body
	resp.Body = &responseBody{trip: x, reuse: !resp.Close}
	return resp, nil
}

// maxInterim bounds the 1xx responses before the response.
const maxInterim = 16

// read reads the response's head and passes interim ones on.
func (x *trip) read() (*http.Response, error) {
	x.conn.headLeft = maxResponseHead + 1
	for range maxInterim {
		resp, err := http.ReadResponse(x.conn.br, x.req)
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, &ProtocolError{What: "upgrade that nobody asked for"}
		case resp.StatusCode >= http.StatusOK && x.foreign(resp):
			if err := x.skip(resp); err != nil {
				return nil, err
			}
		case resp.StatusCode >= http.StatusOK:
			x.conn.headLeft = 0
			return resp, nil
		case resp.StatusCode == http.StatusContinue:
			x.proceed()
		case x.w != nil:
			passInterim(x.w, resp)
		}
	}
	return nil, &ProtocolError{What: "too many interim responses"}
}

func (x *trip) foreign(resp *http.Response) bool {
	return x.client.cfg.Foreign != nil && x.client.cfg.Foreign(x.req, resp)
}

// skip reads a response that belongs to another request. A server that sends
// such ones is not trusted with a further request on this connection.
func (x *trip) skip(resp *http.Response) error {
	x.spoiled = true
	x.conn.headLeft = 0
	_, err := io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close() // it was read to its end
	x.conn.headLeft = maxResponseHead + 1
	if err == nil && resp.Close {
		err = &ProtocolError{What: "the connection ends with the answer to another request"}
	}
	return err
}

func (x *trip) proceed() {
	if x.upload != nil {
		x.upload.proceed()
	}
}

// passInterim passes a 1xx response on. "100 Continue" is not passed on: the
// server sends its own when the body is read.
func passInterim(w http.ResponseWriter, resp *http.Response) {
	h := w.Header()
	saved := h.Clone()
	CopyHeader(h, resp.Header)
	RemoveHopByHop(h)
	w.WriteHeader(resp.StatusCode)
	clear(h)
	CopyHeader(h, saved)
}

// end gives the connection back, or closes it unless all of the request and
// its response have passed over it.
func (x *trip) end(reuse bool) {
	reuse = reuse && !x.spoiled && (x.upload == nil || x.upload.whole())
	watched := x.stop()
	if reuse && watched && !x.conn.leftover() {
		x.client.pool.put(x.conn)
		return
	}
	x.conn.close()
}

// responseBody is a response's body. Its end gives the connection back.
type responseBody struct {
	trip  *trip
	reuse bool
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.ended.Load() {
		return 0, b.after()
	}
	n, err := b.trip.body.Read(p)
	if err != nil && b.ended.CompareAndSwap(false, true) {
		b.trip.err = err
		b.trip.end(b.reuse && err == io.EOF)
	}
	return n, err
}

func (b *responseBody) after() error {
	if b.trip.err != nil {
		return b.trip.err
	}
	return http.ErrBodyReadAfterClose
}

// Close implements io.Closer. Before the body's end it closes the connection.
func (b *responseBody) Close() error {
	if b.ended.CompareAndSwap(false, true) {
		b.trip.end(false)
	}
	return nil
}

// HeadSizeError reports a response whose head is too large.
type HeadSizeError struct {
	// Limit is the largest size, in bytes.
	Limit int64
}

// Error implements error.
func (e *HeadSizeError) Error() string { return "the response's head is too large" }

// ProtocolError reports a message that breaks HTTP/1.1 as it is used here.
type ProtocolError struct {
	// What is wrong.
	What string
}

// Error implements error.
func (e *ProtocolError) Error() string { return "protocol: " + e.What }
