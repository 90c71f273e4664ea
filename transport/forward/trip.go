package forward

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// roundTrip is one request and its response on a connection, until the response's
// body has ended.
type roundTrip struct {
	client *Client
	conn   *clientConn
	req    *http.Request
	w      http.ResponseWriter // receives 1xx responses; may be nil
	start  int64               // bytes written on the connection before the request
	stop   func() bool         // stops watching the context

	// upload is set if another goroutine sends the request's body.
	upload *upload
	body   io.ReadCloser // the response's body as http.ReadResponse returned it
	err    error         // the error that ended the reading of body
	// noReuse prevents reuse of the connection.
	noReuse bool
}

// past is a deadline that makes all pending reads and writes fail.
var past = time.Unix(1, 0)

// newRoundTrip returns a round trip that is aborted when the request's context ends.
func newRoundTrip(c *Client, conn *clientConn, req *http.Request, w http.ResponseWriter) *roundTrip {
	x := &roundTrip{client: c, conn: conn, req: req, w: w, start: conn.raw.count()}
	x.stop = context.AfterFunc(req.Context(), x.abort)
	return x
}

// abort makes all reads and writes of the connection fail.
func (x *roundTrip) abort() { _ = x.conn.conn.SetDeadline(past) } // fails only on a closed connection

// run writes the request and reads the response's head.
func (x *roundTrip) run() (*http.Response, error) {
	if err := x.write(); err != nil {
		return nil, err
	}
	resp, err := x.read()
	if err != nil {
		return nil, err
	}
	if x.upload != nil {
		x.upload.cancelWait()
	}
	x.conn.idleLimit = keepAliveTimeout(resp.Header)
	if resp.Body == http.NoBody {
		x.end(!resp.Close)
		return resp, nil
	}
	x.body = resp.Body
	resp.Body = &responseBody{trip: x, reuse: !resp.Close}
	return resp, nil
}

// maxHeads is the maximum number of response heads that are read for one request,
// including those of interim and foreign responses.
const maxHeads = 16

// read reads the response's head. It passes on interim responses and skips foreign ones.
func (x *roundTrip) read() (*http.Response, error) {
	x.conn.headLeft = maxResponseHead + 1
	for range maxHeads {
		resp, err := http.ReadResponse(x.conn.br, x.req)
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, &ProtocolError{What: "unrequested protocol upgrade"}
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

// foreign reports whether resp belongs to another request.
func (x *roundTrip) foreign(resp *http.Response) bool {
	return x.client.cfg.Foreign != nil && x.client.cfg.Foreign(x.req, resp)
}

// skip reads and discards a response that belongs to another request. The
// connection is not reused after it, since the server may send more of them.
func (x *roundTrip) skip(resp *http.Response) error {
	x.noReuse = true
	x.conn.headLeft = 0
	_, err := io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close() // already read to its end
	x.conn.headLeft = maxResponseHead + 1
	if err == nil && resp.Close {
		err = &ProtocolError{What: "connection closed after the response to another request"}
	}
	return err
}

// proceed starts the upload of the body after "100 Continue".
func (x *roundTrip) proceed() {
	if x.upload != nil {
		x.upload.proceed()
	}
}

// passInterim passes on a 1xx response. The caller must not pass "100 Continue":
// the HTTP server sends its own when the body is read.
func passInterim(w http.ResponseWriter, resp *http.Response) {
	h := w.Header()
	saved := h.Clone()
	CopyHeader(h, resp.Header)
	RemoveHopByHop(h)
	w.WriteHeader(resp.StatusCode)
	clear(h)
	CopyHeader(h, saved)
}

// end returns the connection to the pool if it can be reused, and closes it
// otherwise. It can be reused if reuse is set, the request was sent completely, its
// context is still live and no excess bytes were received.
func (x *roundTrip) end(reuse bool) {
	reuse = reuse && !x.noReuse && (x.upload == nil || x.upload.complete())
	contextLive := x.stop()
	if reuse && contextLive && !x.conn.hasExcessBytes() {
		x.client.pool.put(x.conn)
		return
	}
	x.conn.close()
}

// responseBody is a response's body. Its end releases the connection.
type responseBody struct {
	trip  *roundTrip
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

// after returns the error of a read after the end.
func (b *responseBody) after() error {
	if b.trip.err != nil {
		return b.trip.err
	}
	return http.ErrBodyReadAfterClose
}

// Close implements io.Closer. If the body has not ended, it closes the connection.
func (b *responseBody) Close() error {
	if b.ended.CompareAndSwap(false, true) {
		b.trip.end(false)
	}
	return nil
}

// HeadSizeError reports a response whose head is too large.
type HeadSizeError struct {
	// Limit is the maximum size, in bytes.
	Limit int64
}

// Error implements error.
func (e *HeadSizeError) Error() string { return "response head too large" }

// ProtocolError reports a request or response that violates HTTP/1.1 or uses a part
// of it that is not supported.
type ProtocolError struct {
	// What names the violation, or the part of the request that is invalid.
	What string
}

// Error implements error.
func (e *ProtocolError) Error() string { return "protocol: " + e.What }
