package callers

import (
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jacinthgate/jacinthgate/transport/sockopt"
)

// maxBuffered bounds how much of a response is buffered before its turn, in bytes.
const maxBuffered = 64 << 10

// response is the http.ResponseWriter of one request. It buffers up to
// maxBuffered bytes until its turn comes, that is, until the responses to the
// earlier requests of the connection are complete; then writes block.
type response struct {
	x      *exchange
	header http.Header // belongs to the handler

	mu       sync.Mutex
	status   int
	buffered []byte
	length   int64 // from Content-Length; -1 if unknown
	written  int64
	begun    atomic.Bool // the head was written
	chunks   io.WriteCloser
	// endsWithConnection is set for a body that the end of the connection delimits. Until it is complete,
	// a close resets the connection, so that the caller doesn't take a part of it for the whole.
	endsWithConnection atomic.Bool
	// flushPending is set if the response is to be flushed when its turn comes, finished if the
	// handler has returned.
	flushPending, finished bool
	// frozen are the headers to send if they were fixed before the head was written, since the
	// handler may still change header; otherwise nil.
	frozen http.Header
	// expired is closed when the response may no longer begin; nil means no limit.
	expired <-chan struct{}
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// headers returns the headers to send. The caller holds w.mu.
func (w *response) headers() http.Header {
	if w.frozen != nil {
		return w.frozen
	}
	return w.header
}

// WriteHeader implements http.ResponseWriter. It ignores interim (1xx) statuses.
func (w *response) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.status == 0 && status >= http.StatusOK {
		w.status = status
	}
}

// proceed sends "100 Continue" when the response's turn comes, unless the response has
// begun.
func (w *response) proceed() {
	<-w.x.prevDone
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.begun.Load() {
		return
	}
	bw := w.x.conn.bw
	_, _ = io.WriteString(bw, "HTTP/1.1 100 Continue\r\n\r\n")
	_ = bw.Flush() // reading the body returns the error of a closed connection
}

// bodyless reports whether the response has no body.
func (w *response) bodyless() bool {
	return w.x.req.Method == http.MethodHead || w.status == http.StatusNoContent || w.status == http.StatusNotModified
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.status == 0 {
		w.status = http.StatusOK
	}
	if w.bodyless() {
		return 0, http.ErrBodyNotAllowed
	}
	if !w.begun.Load() && w.mayBuffer(len(w.buffered)+len(p)) {
		w.buffered = append(w.buffered, p...)
		return len(p), nil
	}
	if err := w.begin(false); err != nil {
		return 0, err
	}
	return w.send(p)
}

// mayBuffer reports whether a body of n bytes so far stays in the buffer: before the
// response's turn up to maxBuffered, and without a Content-Length up to connBuffer, so
// that the length of a short response can be set when it is complete.
func (w *response) mayBuffer(n int) bool {
	if w.headers()["Content-Length"] == nil && n <= connBuffer {
		return true
	}
	return n <= maxBuffered && !w.isNext()
}

// begin waits for the response's turn and writes its head and the buffered part of
// its body. bodyComplete is true if that part is the whole body. The caller holds w.mu.
func (w *response) begin(bodyComplete bool) error {
	if w.begun.Load() {
		return nil
	}
	if !w.awaitTurn() {
		return errTurnMissed
	}
	if !w.x.conn.writable() {
		return io.ErrClosedPipe
	}
	w.begun.Store(true)
	w.frame(bodyComplete)
	bw := w.x.conn.bw
	_, _ = io.WriteString(bw, "HTTP/1.1 "+statusLine(w.status)+"\r\n")
	if err := w.headers().WriteSubset(bw, nil); err != nil {
		return err
	}
	if _, err := io.WriteString(bw, "\r\n"); err != nil {
		return err
	}
	buffered := w.buffered
	w.buffered = nil
	if len(buffered) == 0 {
		return nil
	}
	_, err := w.send(buffered)
	return err
}

// frame sets the headers that delimit the body (Content-Length, Transfer-Encoding)
// and Connection. bodyComplete is true if the whole body is buffered.
func (w *response) frame(bodyComplete bool) {
	h := w.headers()
	delete(h, "Transfer-Encoding")
	c := w.x.conn
	if hasConnectionClose(h) || w.x.final.Load() || bodyComplete && w.x.bodyExceedsDiscard() {
		c.closeAfter(w.x)
	} else if c.server.keepAliveOff.Load() {
		c.closeAfterIfNewest(w.x)
	}
	if w.x.final.Load() {
		h["Connection"] = []string{"close"}
	}
	w.length = -1
	if n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		w.length = n
		return
	}
	delete(h, "Content-Length")
	switch {
	case w.bodyless():
	case bodyComplete:
		w.length = int64(len(w.buffered))
		h["Content-Length"] = []string{strconv.Itoa(len(w.buffered))}
	case w.x.req.ProtoAtLeast(1, 1):
		h["Transfer-Encoding"] = []string{"chunked"}
		w.chunks = httputil.NewChunkedWriter(w.x.conn.bw)
	default:
		c.closeAfter(w.x) // HTTP/1.0
		w.endsWithConnection.Store(true)
		sockopt.SetResetOnClose(c.raw, true)
	}
}

// send writes a part of the body to the connection's buffer.
func (w *response) send(p []byte) (int, error) {
	w.written += int64(len(p))
	if w.length >= 0 && w.written > w.length {
		return 0, http.ErrContentLength
	}
	if w.chunks != nil {
		return w.chunks.Write(p)
	}
	return w.x.conn.bw.Write(p)
}

// errWrongLength is returned for a buffered response whose length differs from its Content-Length.
var errWrongLength = errors.New("response length differs from Content-Length")

// wrongLength reports whether the buffered body's length differs from Content-Length.
func (w *response) wrongLength() bool {
	n, err := strconv.Atoi(w.headers().Get("Content-Length"))
	return err == nil && n >= 0 && n != len(w.buffered)
}

// complete sends the rest of the response after the handler has returned. It returns an error
// if the response isn't complete.
func (w *response) complete() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finished, w.expired = true, nil // a complete response is sent, however late its turn comes
	if w.status == 0 {
		w.status = http.StatusOK
	}
	if !w.begun.Load() && !w.bodyless() && w.wrongLength() {
		return errWrongLength
	}
	if err := w.begin(!w.flushPending); err != nil {
		return err
	}
	if w.length >= 0 && w.written != w.length && !w.bodyless() {
		return io.ErrUnexpectedEOF
	}
	if w.chunks != nil {
		if err := w.chunks.Close(); err != nil {
			return err
		}
		if _, err := io.WriteString(w.x.conn.bw, "\r\n"); err != nil {
			return err
		}
	}
	if err := w.x.conn.bw.Flush(); err != nil {
		return err
	}
	if w.endsWithConnection.Load() {
		sockopt.SetResetOnClose(w.x.conn.raw, false)
	}
	return nil
}

// callerClosed reports whether writing the response has failed because the caller had closed the
// connection.
func (w *response) callerClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.begun.Load() {
		return false // nothing was written
	}
	_, err := w.x.conn.bw.Write(nil) // returns the writer's first error
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// EnableFullDuplex implements the method that http.ResponseController calls. It does
// nothing: this server never delays a response until the request's body was read.
func (w *response) EnableFullDuplex() error { return nil }

// SetReadDeadline implements the method that http.ResponseController calls.
func (w *response) SetReadDeadline(t time.Time) error { return w.x.conn.raw.SetReadDeadline(t) }

// statusLine returns a status code with its reason phrase.
func statusLine(status int) string {
	text := http.StatusText(status)
	if text == "" {
		text = "status"
	}
	return strconv.Itoa(status) + " " + text
}
