package callers

import "io"

// awaitFinal waits until the final request of a connection is answered. Meanwhile it reads
// the connection, since only a read detects that the caller closes it: the request is then
// cancelled. Bytes behind the request are discarded, up to maxDiscard.
func (c *conn) awaitFinal(x *exchange) {
	if x.hasBody() {
		select {
		case <-x.bodyEnd: // until then the handler reads the connection
		case <-x.done:
			return
		}
	}
	// When the response is complete, armIdle sets a deadline in the past, which ends the read.
	if _, err := io.CopyN(io.Discard, c.br, maxDiscard); err != nil && !x.isDone() {
		c.handleCallerGone()
	}
	<-x.done
}

// isDone reports whether the request has been dealt with.
func (x *exchange) isDone() bool {
	select {
	case <-x.done:
		return true
	default:
		return false
	}
}
