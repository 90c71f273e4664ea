package callers

import (
	"errors"
	"net/http"
	"time"
)

// Responses go out in the order of their requests. One whose turn has not come is kept, and may
// still be replaced.

// errTurnMissed reports a response that was to begin and whose turn hasn't come.
var errTurnMissed = errors.New("the turn of the response has not come in time")

// Arrived returns when the request's head was read: it may have waited for others since.
func (w *response) Arrived() time.Time { return w.x.began }

// WaitUntil bounds the time to begin the response while the handler writes it: once done is
// closed, what would have to be sent before the response is whole is not sent. Requests behind one
// that is sent before it is whole wait: it may break off and end the connection.
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

// replace makes a response that has failed tell a status and nothing else. It reports false
// where a part of it was sent, or where there is nobody to tell.
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
