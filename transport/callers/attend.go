package callers

import "io"

// attend waits until a request that ends its connection is answered. Nothing is read
// for an answer meanwhile, but a caller that leaves shows only where its connection is
// read: its request is then cancelled. What a caller sends behind such a request is
// thrown away.
func (c *conn) attend(x *exchange) {
	if x.hasBody() {
		select {
		case <-x.bodyEnd: // until then the handler reads
		case <-x.done:
			return
		}
	}
	// The answer's end sets a deadline that is past, and so ends the reading.
	if _, err := io.CopyN(io.Discard, c.br, maxDiscard); err != nil && !x.answered() {
		c.callerLeft()
	}
	<-x.done
}

// answered reports whether the response is complete.
func (x *exchange) answered() bool {
	select {
	case <-x.done:
		return true
	default:
		return false
	}
}
