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

// framingHeaders are written from the request's own fields.
var framingHeaders = map[string]bool{
	"Host":              true,
	"Content-Length":    true,
	"Transfer-Encoding": true,
	"Trailer":           true,
}

// checkRequest refuses what can't be a valid request line.
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

// write sends the request. A body that is at hand goes out with the head;
// another one is sent by a goroutine of its own, because the response may
// begin before it ends.
func (x *trip) write() error {
	req := x.req
	empty := req.Body == nil || req.Body == http.NoBody
	if err := x.writeHead(empty); err != nil {
		return err
	}
	kept, atHand := req.Body.(*KeptBody)
	expects := req.Header["Expect"] != nil
	switch {
	case empty:
	case atHand && !expects && int64(kept.Len()) == req.ContentLength:
		if _, err := kept.WriteTo(x.conn.bw); err != nil {
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

func (x *trip) writeHead(empty bool) error {
	req, bw := x.req, x.conn.bw
	host := req.Host
	if host == "" {
		host = req.URL.Host
	}
	// The writer keeps its first error; Flush returns it.
	_, _ = bw.WriteString(req.Method)
	_ = bw.WriteByte(' ')
	_, _ = bw.WriteString(req.URL.RequestURI())
	_, _ = bw.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = bw.WriteString(host)
	_, _ = bw.WriteString("\r\n")
	x.writeFraming(empty)
	if agent := req.Header["User-Agent"]; len(agent) == 1 && agent[0] == "" {
		delete(req.Header, "User-Agent") // the mark that there is none
	}
	if err := req.Header.WriteSubset(bw, framingHeaders); err != nil {
		return err
	}
	_, err := bw.WriteString("\r\n")
	return err
}

// writeFraming writes the headers that say where the body ends.
func (x *trip) writeFraming(empty bool) {
	req, bw := x.req, x.conn.bw
	switch {
	case empty && !bodyExpected(req.Method):
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

// bodyExpected reports whether a request without a body must say so.
func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

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

// upload sends a request's body while the response may begin.
type upload struct {
	trip    *trip
	expects bool
	signal  chan bool // whether the body is to be sent
	// last says that only the last piece was still to be written.
	last atomic.Bool
	// result gets how it ended.
	result chan error
}

func newUpload(x *trip, expects bool) *upload {
	return &upload{trip: x, expects: expects, signal: make(chan bool, 2), result: make(chan error, 1)}
}

// proceed tells that the server wants the body.
func (u *upload) proceed() { u.tell(true) }

// answered tells that the response has begun.
func (u *upload) answered() { u.tell(false) }

func (u *upload) tell(send bool) {
	select {
	case u.signal <- send:
	default: // it has been told already
	}
}

// lastPieceWait bounds the wait for the last piece of a body, after the
// response has ended. It is only the time until a goroutine gets a processor.
const lastPieceWait = 50 * time.Millisecond

// whole reports whether all of the body was sent. It is asked once, when the
// response has ended.
func (u *upload) whole() bool {
	if !u.last.Load() {
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

func (u *upload) run() {
	if u.expects && !u.wanted() {
		return
	}
	read := &sourceReader{source: u.trip.req.Body}
	err := u.send(read)
	if read.err != nil || err == io.ErrUnexpectedEOF {
		// Without the rest of the body there is nothing to wait for. Where the
		// server doesn't take the body, it may have answered.
		u.trip.abort()
	}
	u.result <- err
}

// wanted waits until the server wants the body, or for the time after which it
// is sent unasked. An answer without "100 Continue" means that it does not.
func (u *upload) wanted() bool {
	t := time.NewTimer(u.trip.client.cfg.ContinueTimeout)
	defer t.Stop()
	select {
	case send := <-u.signal:
		return send
	case <-t.C:
		return true
	case <-u.trip.req.Context().Done():
		return false
	}
}

// send writes the body with its framing, flushing what the caller has sent.
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
	u.last.Store(true)
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

// copyExactly copies as many bytes as the request's head has announced, or
// fails.
func (u *upload) copyExactly(r io.Reader, buf []byte) error {
	for n := u.trip.req.ContentLength; n > 0; {
		read, err := r.Read(buf[:min(int64(len(buf)), n)])
		n -= int64(read)
		if n == 0 {
			u.last.Store(true)
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

// sourceReader remembers a failure of the body itself, to tell it from one of
// the connection.
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
