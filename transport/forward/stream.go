package forward

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// StreamBody is a request body that is forwarded while it arrives. Closing it does
// nothing: the HTTP server closes the caller's body, and as long as none of it was
// read, another attempt can send it.
type StreamBody struct {
	body  io.Reader
	w     http.ResponseWriter
	state atomic.Int32
	// duplex is set once the response may begin before the body has been read.
	duplex atomic.Bool
	// reading is held while the body is read.
	reading sync.Mutex
	onRead  func(bytes int, ended bool) // may be nil
}

// OnRead sets a function that is called after each read with the number of bytes read and whether
// the body has ended or failed. It must be called before the body is read.
func (s *StreamBody) OnRead(f func(bytes int, ended bool)) { s.onRead = f }

// States of a StreamBody.
const (
	streamUntouched = iota // nothing was read
	streamRead             // reading has begun
	streamReclaimed        // reading is no longer allowed
)

// NewStreamBody returns the body of r, whose response goes to w.
func NewStreamBody(w http.ResponseWriter, r *http.Request) *StreamBody {
	return ResumeStreamBody(w, r, nil)
}

// ResumeStreamBody returns the body of r, whose beginning has already been read. It does
// not change r, since the HTTP server uses r.Body while the handler runs.
func ResumeStreamBody(w http.ResponseWriter, r *http.Request, begin []byte) *StreamBody {
	if len(begin) == 0 {
		return &StreamBody{body: r.Body, w: w}
	}
	return &StreamBody{body: io.MultiReader(bytes.NewReader(begin), r.Body), w: w}
}

// open lets the response begin before the body has been read; otherwise net/http would consume the
// rest of the body first. The handler's goroutine calls it right before the body is sent and in no
// other case: net/http must consume a body that nobody reads before it sends the response.
func (s *StreamBody) open() {
	s.duplex.Store(true)
	_ = http.NewResponseController(s.w).EnableFullDuplex() // a writer without support has no connection that could break
}

// Read implements io.Reader.
func (s *StreamBody) Read(p []byte) (int, error) {
	s.reading.Lock()
	defer s.reading.Unlock()
	if !s.state.CompareAndSwap(streamUntouched, streamRead) && s.state.Load() == streamReclaimed {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := s.body.Read(p)
	if s.onRead != nil {
		s.onRead(n, err != nil)
	}
	return n, err
}

// Close implements io.Closer.
func (s *StreamBody) Close() error { return nil }

// Detach stops all reading of the body and waits until a read in progress has returned.
// A handler must call it before it aborts its connection: net/http then reuses the
// connection's buffer even if the goroutine that uploads the body is still reading. On a
// nil StreamBody it does nothing.
func (s *StreamBody) Detach(w http.ResponseWriter) {
	if s == nil {
		return
	}
	s.state.Store(streamReclaimed)
	s.duplex.Store(false)                                   // nothing more is to be read
	_ = http.NewResponseController(w).SetReadDeadline(past) // a writer without support has no connection
	s.reading.Lock()
	defer s.reading.Unlock()
}

// maxFinish bounds how much of a body Finish reads, in bytes. If more is left, net/http closes the
// connection after the response.
const maxFinish = 256 << 10

// Finish sends what was written of the response and reads the rest of the body. A handler must call
// it when it returns normally: if the end of a body is reached after the handler, net/http reads the
// connection twice at the same time, panics, and the next request on the connection is lost. On a nil
// StreamBody it does nothing.
func (s *StreamBody) Finish() {
	if s == nil || !s.duplex.Load() {
		return
	}
	s.state.Store(streamReclaimed)
	_ = http.NewResponseController(s.w).Flush() // the client may wait for the response before it sends the rest
	s.reading.Lock()
	defer s.reading.Unlock()
	_, _ = io.CopyN(io.Discard, s.body, maxFinish) // an error ends the connection anyway
}

// Reclaim returns the body for another attempt, or nil if reading has begun. Reads
// of s fail from then on, because the goroutine that uploads it may outlive its
// attempt.
func (s *StreamBody) Reclaim() *StreamBody {
	if !s.state.CompareAndSwap(streamUntouched, streamReclaimed) {
		return nil
	}
	reclaimed := &StreamBody{body: s.body, w: s.w}
	reclaimed.duplex.Store(s.duplex.Load())
	return reclaimed
}
