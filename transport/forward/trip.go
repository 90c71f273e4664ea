package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
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
	// received is the number of bytes received on the connection before the request, and reused is set
	// if it carried another one before.
	received int64
	reused   bool
	stop     func() bool  // stops watching the context
	window   *windowWatch // nil where the request has no body

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
	x := &roundTrip{
		client: c, conn: conn, req: req, w: w, start: conn.raw.count(), received: conn.received, reused: !conn.idleSince.IsZero(),
	}
	x.stop = context.AfterFunc(req.Context(), x.abort)
	if req.ContentLength != 0 && c.cfg.UnackedTimeout > 0 {
		x.window = watchWindow(conn.raw, c.cfg.UnackedTimeout)
	}
	return x
}

// abort makes all reads and writes of the connection fail.
func (x *roundTrip) abort() { _ = x.conn.conn.SetDeadline(past) } // fails only on a closed connection

// isSilent reports whether the request's deadline has passed without a byte on a reused connection.
func (x *roundTrip) isSilent() bool {
	return x.reused && x.conn.received == x.received && errors.Is(x.req.Context().Err(), context.DeadlineExceeded)
}

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
	resp.Body = newResponseBody(x, resp)
	return resp, nil
}

// proceed starts the upload of the body after "100 Continue".
func (x *roundTrip) proceed() {
	if x.upload != nil {
		x.upload.proceed()
	}
}

// InterimWriter returns the receiver of the 1xx responses to r, whose response goes to w: nil for an
// HTTP/1.0 caller, which would take one for the response.
func InterimWriter(w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	if !r.ProtoAtLeast(1, 1) {
		return nil
	}
	return w
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
	x.window.end()
	if reuse && contextLive && !x.conn.hasExcessBytes() {
		x.client.pool.put(x.conn)
		return
	}
	x.conn.close()
}
