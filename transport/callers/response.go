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
)

// maxAhead bounds what is kept of a response whose turn has not come, in bytes.
const maxAhead = 64 << 10

// response is the http.ResponseWriter of one request. What is written before
// its turn is kept, up to maxAhead.
type response struct {
	x      *exchange
	header http.Header // belongs to the handler

	mu      sync.Mutex
	status  int
	kept    []byte
	length  int64 // by Content-Length; -1 when chunked
	written int64
	begun   atomic.Bool // the head was written
	chunks  io.WriteCloser
	// flushing says that the response is flushed once its turn comes, ended that nothing more
	// is written.
	flushing, ended bool
	// frozen are the headers to send where the handler may still change its own.
	frozen http.Header
	// expired ends the wait for the response's turn; nil doesn't.
	expired <-chan struct{}
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// headers returns the headers to send. w.mu is held.
func (w *response) headers() http.Header {
	if w.frozen != nil {
		return w.frozen
	}
	return w.header
}

// WriteHeader implements http.ResponseWriter. Interim responses are left out.
func (w *response) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.status == 0 && status >= http.StatusOK {
		w.status = status
	}
}

// proceed sends "100 Continue".
func (w *response) proceed() {
	<-w.x.before
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.begun.Load() {
		return
	}
	bw := w.x.conn.bw
	_, _ = io.WriteString(bw, "HTTP/1.1 100 Continue\r\n\r\n")
	_ = bw.Flush() // reading the body reports a closed connection
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
	if !w.begun.Load() && w.mayKeep(len(w.kept)+len(p)) {
		w.kept = append(w.kept, p...)
		return len(p), nil
	}
	if err := w.begin(false); err != nil {
		return 0, err
	}
	return w.send(p)
}

// mayKeep reports whether so many bytes are kept: while it is not the response's
// turn, and of a short one whose length isn't known yet.
func (w *response) mayKeep(n int) bool {
	if w.headers()["Content-Length"] == nil && n <= connBuffer {
		return true
	}
	return n <= maxAhead && !w.myTurn()
}

// begin waits for the response's turn and writes its head. whole says that
// kept is all of the body. w.mu is held.
func (w *response) begin(whole bool) error {
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
	w.frame(whole)
	bw := w.x.conn.bw
	_, _ = io.WriteString(bw, "HTTP/1.1 "+statusLine(w.status)+"\r\n")
	if err := w.headers().WriteSubset(bw, nil); err != nil {
		return err
	}
	if _, err := io.WriteString(bw, "\r\n"); err != nil {
		return err
	}
	kept := w.kept
	w.kept = nil
	if len(kept) == 0 {
		return nil
	}
	_, err := w.send(kept)
	return err
}

// frame sets the headers that say where the body ends.
func (w *response) frame(whole bool) {
	h := w.headers()
	delete(h, "Transfer-Encoding")
	c := w.x.conn
	if closes(h) || w.x.last.Load() || whole && w.x.leavesBody() {
		c.close(w.x)
	} else if c.server.leaving.Load() {
		c.closeIfNewest(w.x)
	}
	if w.x.last.Load() {
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
	case whole:
		w.length = int64(len(w.kept))
		h["Content-Length"] = []string{strconv.Itoa(len(w.kept))}
	case w.x.req.ProtoAtLeast(1, 1):
		h["Transfer-Encoding"] = []string{"chunked"}
		w.chunks = httputil.NewChunkedWriter(w.x.conn.bw)
	default:
		c.close(w.x) // the end of the connection is the end of the body
	}
}

// send writes a part of the body.
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

// errWrongLength reports a response with another length than it has announced, nothing of which
// was sent.
var errWrongLength = errors.New("response of another length than announced")

// wrongLength reports whether what is kept isn't as long as was announced.
func (w *response) wrongLength() bool {
	n, err := strconv.Atoi(w.headers().Get("Content-Length"))
	return err == nil && n >= 0 && n != len(w.kept)
}

// complete ends the response.
func (w *response) complete() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended, w.expired = true, nil // a whole response is sent, however late its turn comes
	if w.status == 0 {
		w.status = http.StatusOK
	}
	if !w.begun.Load() && !w.bodyless() && w.wrongLength() {
		return errWrongLength
	}
	if err := w.begin(!w.flushing); err != nil {
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
	return w.x.conn.bw.Flush()
}

// callerGone reports whether writing the response has failed since its caller had closed the
// connection.
func (w *response) callerGone() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.begun.Load() {
		return false // nothing was written
	}
	_, err := w.x.conn.bw.Write(nil) // the first error of the writer
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// EnableFullDuplex implements what http.ResponseController looks for: responses
// never wait for the request's body here.
func (w *response) EnableFullDuplex() error { return nil }

// SetReadDeadline implements what http.ResponseController looks for.
func (w *response) SetReadDeadline(t time.Time) error { return w.x.conn.raw.SetReadDeadline(t) }

// statusLine returns the status with its text.
func statusLine(status int) string {
	text := http.StatusText(status)
	if text == "" {
		text = "status"
	}
	return strconv.Itoa(status) + " " + text
}
