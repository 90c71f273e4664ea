package callers

import (
	"errors"
	"net/http"
	"time"
)

// errTurnMissed reports a response that can't be kept any longer and whose turn hasn't come.
var errTurnMissed = errors.New("the turn of the response has not come in time")

// Arrived returns when the request's head was read: it may have waited for others since.
func (w *response) Arrived() time.Time { return w.x.began }

// WaitUntil is called for a response that is sent before it is whole. Once done is closed, it isn't
// begun any more unless it is whole by then. Requests that are read after it wait for its end: if it
// breaks off, it ends the connection.
func (w *response) WaitUntil(done <-chan struct{}) {
	w.x.partial.Store(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expired = done
}

// Followed reports whether other requests stand behind this one.
func (w *response) Followed() bool {
	c := w.x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last != w.x.done
}

// myTurn reports whether the responses before this one are complete.
func (w *response) myTurn() bool {
	select {
	case <-w.x.before:
		return true
	default:
		return false
	}
}

// awaitTurn waits for the response's turn. It reports false where the time to write the response
// is over.
func (w *response) awaitTurn() bool {
	select {
	case <-w.x.before:
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

// FlushError implements what http.ResponseController looks for. Before the response's turn it
// doesn't wait: what is kept then is sent in its turn.
func (w *response) FlushError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.status == 0 {
		w.status = http.StatusOK
	}
	if !w.myTurn() {
		w.flushInTurn()
		return nil
	}
	return w.flush()
}

// flush sends what was written so far. w.mu is held.
func (w *response) flush() error {
	if err := w.begin(false); err != nil {
		return err
	}
	return w.x.conn.bw.Flush()
}

// flushInTurn flushes once the responses before this one are complete. w.mu is held.
func (w *response) flushInTurn() {
	if w.flushing {
		return
	}
	w.flushing = true
	w.frozen = w.header.Clone()
	go func() {
		<-w.x.before
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.ended {
			_ = w.flush() // writing on reports it
		}
	}()
}

// replace turns a response that has failed into an empty one with a status. It reports false where
// a part of it was sent, or where the caller has left.
func (w *response) replace(status int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.begun.Load() || w.x.conn.callerHasLeft() {
		return false
	}
	w.frozen = http.Header{"Content-Length": {"0"}}
	if w.x.hasBody() && !w.x.bodyEnded() {
		w.frozen["Connection"] = []string{"close"} // the handler may still be reading
	}
	w.status, w.kept = status, nil
	return true
}
