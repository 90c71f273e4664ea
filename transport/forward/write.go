package forward

import (
	"io"
	"net/http"
	"net/http/httputil"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// framingHeaders are the headers that are written from the fields of the request,
// not from its Header.
var framingHeaders = map[string]bool{
	"Host":              true,
	"Content-Length":    true,
	"Transfer-Encoding": true,
	"Trailer":           true,
}

// checkRequest returns an error for CONNECT, which is not supported, and for a method,
// target or host that can't stand in a request's head.
func checkRequest(req *http.Request) error {
	clean := func(s string) bool {
		return s != "" && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f })
	}
	switch {
	case !clean(req.Method) || req.Method == http.MethodConnect:
		return &ProtocolError{What: "method"}
	case !clean(req.URL.RequestURI()):
		return &ProtocolError{What: "target"}
	case req.Host != "" && !clean(req.Host):
		return &ProtocolError{What: "host"}
	}
	return nil
}

// write sends the request. A body held in memory is sent with the head. Any other
// body is uploaded by its own goroutine, because the response may begin before
// the body has ended.
func (x *roundTrip) write() error {
	req := x.req
	empty := req.Body == nil || req.Body == http.NoBody
	if err := x.writeHead(empty); err != nil {
		return err
	}
	buffered, inMemory := req.Body.(*BufferedBody)
	expects := req.Header["Expect"] != nil
	switch {
	case empty:
	case inMemory && !expects && int64(buffered.Len()) == req.ContentLength:
		if _, err := buffered.WriteTo(x.conn.bw); err != nil {
			return err
		}
	default:
		if body, ok := req.Body.(*StreamBody); ok {
			body.open()
		}
		x.upload = newUpload(x, expects)
	}
	if err := x.conn.bw.Flush(); err != nil {
		return err
	}
	if x.upload != nil {
		go x.upload.run()
	}
	return nil
}

// writeHead writes the request line and the headers. empty means that there is no body.
func (x *roundTrip) writeHead(empty bool) error {
	req, bw := x.req, x.conn.bw
	host := req.Host
	if host == "" {
		host = req.URL.Host
	}
	// The writer records its first error, which Flush returns.
	_, _ = bw.WriteString(req.Method)
	_ = bw.WriteByte(' ')
	_, _ = bw.WriteString(req.URL.RequestURI())
	_, _ = bw.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = bw.WriteString(host)
	_, _ = bw.WriteString("\r\n")
	x.writeFraming(empty)
	if agent := req.Header["User-Agent"]; len(agent) == 1 && agent[0] == "" {
		delete(req.Header, "User-Agent") // see noUserAgent
	}
	if err := req.Header.WriteSubset(bw, framingHeaders); err != nil {
		return err
	}
	_, err := bw.WriteString("\r\n")
	return err
}

// writeFraming writes the headers that determine the length of the body.
func (x *roundTrip) writeFraming(empty bool) {
	req, bw := x.req, x.conn.bw
	switch {
	case empty && !needsLength(req.Method):
	case empty:
		_, _ = bw.WriteString("Content-Length: 0\r\n")
	case req.ContentLength >= 0:
		var b [20]byte
		_, _ = bw.WriteString("Content-Length: ")
		_, _ = bw.Write(strconv.AppendInt(b[:0], req.ContentLength, 10))
		_, _ = bw.WriteString("\r\n")
	default:
		_, _ = bw.WriteString("Transfer-Encoding: chunked\r\n")
		if names := trailerNames(req.Trailer); len(names) > 0 {
			_, _ = bw.WriteString("Trailer: " + strings.Join(names, ",") + "\r\n")
		}
	}
}

// needsLength reports whether a request of the method must have a Content-Length even
// if it has no body.
func needsLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// trailerNames returns the names of the trailers in h that may be sent, sorted.
func trailerNames(h http.Header) []string {
	var names []string
	for name := range h {
		if !framingHeaders[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// upload sends a request's body from its own goroutine, while the response may
// already begin.
type upload struct {
	trip    *roundTrip
	expects bool      // the request has an Expect header
	permit  chan bool // whether the server wants the body
	// lastPiece is set when only the last piece is still to be written.
	lastPiece atomic.Bool
	// result receives the error that ended the upload, or nil.
	result chan error
}

// newUpload returns an upload that run will perform.
func newUpload(x *roundTrip, expects bool) *upload {
	return &upload{trip: x, expects: expects, permit: make(chan bool, 2), result: make(chan error, 1)}
}

// proceed ends the wait for "100 Continue": the body is sent.
func (u *upload) proceed() { u.decide(true) }

// cancelWait ends the wait for "100 Continue" because the response has begun: the
// body is not sent. It doesn't stop an upload that has begun.
func (u *upload) cancelWait() { u.decide(false) }

// decide reports to run whether the body is to be sent.
func (u *upload) decide(send bool) {
	select {
	case u.permit <- send:
	default: // earlier decisions fill the channel
	}
}

// lastPieceWait is the maximum wait, after the response has ended, until the last
// piece of the request's body has been written. It only has to cover the time until the
// goroutine is scheduled.
const lastPieceWait = 50 * time.Millisecond

// complete reports whether all of the body was sent. It must be called only once,
// when the response has ended.
func (u *upload) complete() bool {
	if !u.lastPiece.Load() {
		return false
	}
	select {
	case err := <-u.result:
		return err == nil
	default:
	}
	t := time.NewTimer(lastPieceWait)
	defer t.Stop()
	select {
	case err := <-u.result:
		return err == nil
	case <-t.C:
		return false
	}
}

// run sends the body once the server wants it and reports the result.
func (u *upload) run() {
	if u.expects && !u.awaitContinue() {
		return
	}
	body := &sourceReader{source: u.trip.req.Body}
	err := u.send(body)
	if body.err != nil || err == io.ErrUnexpectedEOF {
		// The body's source failed, so the request can't be completed and no
		// response is due. After a failed write, by contrast, the server may have
		// responded without reading the body, so the connection stays readable.
		u.trip.abort()
	}
	u.result <- err
}

// awaitContinue waits for "100 Continue", for at most ContinueTimeout, and reports
// whether to send the body: after "100 Continue" and after the timeout, but not
// after a response without "100 Continue" or the end of the context.
func (u *upload) awaitContinue() bool {
	t := time.NewTimer(u.trip.client.cfg.ContinueTimeout)
	defer t.Stop()
	select {
	case send := <-u.permit:
		return send
	case <-t.C:
		return true
	case <-u.trip.req.Context().Done():
		return false
	}
}

// send writes the body with its framing. It flushes each piece as the caller sends it.
func (u *upload) send(body io.Reader) error {
	x := u.trip
	buf := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(buf)
	if x.req.ContentLength >= 0 {
		return u.copyExactly(body, buf[:])
	}
	chunks := httputil.NewChunkedWriter(x.conn.bw)
	for {
		n, err := body.Read(buf[:])
		if n > 0 {
			if _, werr := chunks.Write(buf[:n]); werr != nil {
				return werr
			}
			if werr := x.conn.bw.Flush(); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return u.finish(chunks)
		}
		if err != nil {
			return err
		}
	}
}

// finish writes the last chunk and the trailers.
func (u *upload) finish(chunks io.Closer) error {
	x := u.trip
	u.lastPiece.Store(true)
	if err := chunks.Close(); err != nil {
		return err
	}
	for _, name := range trailerNames(x.req.Trailer) {
		h := http.Header{name: x.req.Trailer[name]}
		if err := h.Write(x.conn.bw); err != nil {
			return err
		}
	}
	_, _ = x.conn.bw.WriteString("\r\n") // Flush returns the writer's error
	return x.conn.bw.Flush()
}

// copyExactly copies the number of bytes that the request's Content-Length states,
// or returns an error.
func (u *upload) copyExactly(r io.Reader, buf []byte) error {
	for n := u.trip.req.ContentLength; n > 0; {
		read, err := r.Read(buf[:min(int64(len(buf)), n)])
		n -= int64(read)
		if n == 0 {
			u.lastPiece.Store(true)
		}
		if _, werr := u.trip.conn.conn.Write(buf[:read]); werr != nil {
			return werr
		}
		if err == io.EOF && n > 0 {
			return io.ErrUnexpectedEOF
		}
		if err != nil && err != io.EOF {
			return err
		}
	}
	return nil
}

// sourceReader records an error of the body's source, to distinguish it from an
// error of the connection.
type sourceReader struct {
	source io.Reader
	err    error
}

// Read implements io.Reader.
func (r *sourceReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}
