package forward

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// StreamBody passes a request's body on as it comes. Closing it does nothing:
// the server closes the body itself, and until any of it was read it can still
// be sent elsewhere.
type StreamBody struct {
	body  io.Reader
	w     http.ResponseWriter
	state atomic.Int32
	// reading is held while the body is read.
	reading sync.Mutex
	onRead  func(bytes int, ended bool) // nil for nothing
}

// OnRead lets f be told of each piece of the body that is read, in bytes, and whether it was the last
// or the body can't be read on. It is set before the body is read.
func (s *StreamBody) OnRead(f func(bytes int, ended bool)) { s.onRead = f }

// States of a StreamBody.
const (
	streamUntouched = iota
	streamRead
	streamReclaimed
)

// NewStreamBody returns the body of r, whose response goes to w.
func NewStreamBody(w http.ResponseWriter, r *http.Request) *StreamBody {
	return ResumeStreamBody(w, r, nil)
}

// ResumeStreamBody returns the body of r where its beginning has been read. r stays as
// it is: its server looks at the body while it is handled.
func ResumeStreamBody(w http.ResponseWriter, r *http.Request, begin []byte) *StreamBody {
	if len(begin) == 0 {
		return &StreamBody{body: r.Body, w: w}
	}
	return &StreamBody{body: io.MultiReader(bytes.NewReader(begin), r.Body), w: w}
}

// open lets the response begin before the body has ended; net/http would otherwise take the rest of
// the body away. It is called by the handler's goroutine, and only before the body is read: of a body
// that nobody reads net/http must take the rest before the response.
func (s *StreamBody) open() {
	_ = http.NewResponseController(s.w).EnableFullDuplex() // a writer that can't do it has no connection to lose
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

// Detach ends the reading of the body and waits until nobody reads it. A handler
// that aborts its connection calls it before: net/http gives the connection's
// buffer back then, also while the goroutine that sends the body still reads. A nil body is none.
func (s *StreamBody) Detach(w http.ResponseWriter) {
	if s == nil {
		return
	}
	s.state.Store(streamReclaimed)
	_ = http.NewResponseController(w).SetReadDeadline(past) // a writer that can't do it has no connection
	s.reading.Lock()
	defer s.reading.Unlock()
}

// Reclaim returns the body for another attempt, or nil when some of it was
// read. After it, s reads nothing: the goroutine that sends it may outlive the
// attempt.
func (s *StreamBody) Reclaim() *StreamBody {
	if !s.state.CompareAndSwap(streamUntouched, streamReclaimed) {
		return nil
	}
	return &StreamBody{body: s.body, w: s.w}
}
