package callers

import (
	"errors"
	"net/http"
	"time"
)

// errTurnMissed is returned for a response that must be sent although its turn hasn't come before
// the channel of WaitUntil was closed.
var errTurnMissed = errors.New("earlier responses on the connection were not complete in time")

// Arrived returns when the request's head was read. The handler may have started later, after
// earlier requests of the connection.
func (w *response) Arrived() time.Time { return w.x.readAt }

// WaitUntil marks the response as streamed, that is, sent before it is complete. Once done is
// closed, the response can no longer begin, unless the handler has returned by then. Requests that
// are read after this call wait until the response ends, because truncating it would close the
// connection.
func (w *response) WaitUntil(done <-chan struct{}) {
	w.x.streaming.Store(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expired = done
}

// StreamUnlessFollowed marks the response as streamed, as WaitUntil does, unless further requests
// of the connection were read after this one. It reports whether the response is marked.
func (w *response) StreamUnlessFollowed() bool {
	c := w.x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newestDone != w.x.done {
		return false
	}
	w.x.streaming.Store(true)
	return true
}

// isNext reports whether the responses before this one are complete.
func (w *response) isNext() bool {
	select {
	case <-w.x.prevDone:
		return true
	default:
		return false
	}
}

// awaitTurn waits for the response's turn. It returns false if expired is closed first.
func (w *response) awaitTurn() bool {
	select {
	case <-w.x.prevDone:
	case <-w.expired:
		return false
	}
	select {
	case <-w.expired:
		return false
	default:
		return true
	}
}

// FlushError implements the method that http.ResponseController calls. Before the response's turn
// it doesn't block: the buffered part is flushed when the turn comes.
func (w *response) FlushError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.status == 0 {
		w.status = http.StatusOK
	}
	if !w.isNext() {
		w.flushWhenNext()
		return nil
	}
	return w.flush()
}

// flush sends everything written so far. The caller holds w.mu.
func (w *response) flush() error {
	if err := w.begin(false); err != nil {
		return err
	}
	return w.x.conn.bw.Flush()
}

// flushWhenNext flushes in the background once the responses before this one are complete. It fixes
// the headers as they are now. The caller holds w.mu.
func (w *response) flushWhenNext() {
	if w.flushPending {
		return
	}
	w.flushPending = true
	w.frozen = w.header.Clone()
	go func() {
		<-w.x.prevDone
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.finished {
			_ = w.flush() // the next write returns the error
		}
	}()
}

// replace discards a failed response and sets an empty one with the given status. It returns false
// if a part of the failed response was sent, or if the caller has closed the connection.
func (w *response) replace(status int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.begun.Load() || w.x.conn.isCallerGone() {
		return false
	}
	w.frozen = http.Header{"Content-Length": {"0"}}
	if w.x.hasBody() && !w.x.bodyEnded() {
		w.frozen["Connection"] = []string{"close"} // the handler's goroutines may still be reading the body
	}
	w.status, w.buffered = status, nil
	return true
}
