package entry

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"

	"github.com/jacinthgate/jacinthgate/transport/forward"
	"github.com/jacinthgate/jacinthgate/transport/sockopt"
)

// rawExchange copies one request to the older system, and its response back, byte for
// byte. It parses only the framing, to find where each of them ends.
type rawExchange struct {
	caller  *callerConn
	request *http.Request
	head    []byte
	reader  *bufio.Reader // of the caller's connection, behind the head
	// next receives nil when the first byte of the next request has arrived, or the
	// error that ended the wait for it.
	next chan error
	// bodySent is set once the request's body was copied. It may be read after next.
	bodySent bool
}

// run copies the request and its response. It reports whether the caller's connection
// may carry another request.
func (x *rawExchange) run() bool {
	x.reader = bufio.NewReader(x.caller)
	x.next = make(chan error, 1)
	older := x.caller.older
	if _, err := older.Write(x.head); err != nil {
		return false
	}
	go x.sendBody()
	resp, err := x.copyResponse()
	if err != nil {
		_ = older.Close() // ends sendBody as well
		return false
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		x.splice()
		return false
	}
	return !resp.Close && !x.request.Close
}

// leftover returns the bytes that were read from the caller beyond the request.
func (x *rawExchange) leftover() []byte {
	b, _ := x.reader.Peek(x.reader.Buffered()) // never more than is buffered
	return append(bytes.Clone(b), x.caller.pending...)
}

// sendBody copies the request's body and waits for the next request. If the caller
// closes its connection or the connection fails, so does the one to the older system.
func (x *rawExchange) sendBody() {
	older := x.caller.older
	err := x.copyBody(older)
	if err == nil {
		x.bodySent = true
		_, err = x.reader.Peek(1)
	}
	if errors.Is(err, io.EOF) {
		closeWrite(older.Conn)
	} else if err != nil && !isTimeout(err) {
		_ = older.Close() // the caller is gone
	}
	x.next <- err
}

func (x *rawExchange) copyBody(w io.Writer) error {
	if x.request.ContentLength > 0 {
		_, err := io.CopyN(w, x.reader, x.request.ContentLength)
		return err
	}
	if slices.Contains(x.request.TransferEncoding, "chunked") {
		return copyChunked(w, x.reader, anyTrailers)
	}
	return nil
}

// copyResponse copies the response and the 1xx responses before it to the caller, and
// returns the parsed head of the final one.
func (x *rawExchange) copyResponse() (*http.Response, error) {
	from := x.caller.older.reader
	for {
		head, err := forward.ReadHead(from)
		if err != nil {
			return nil, err
		}
		resp, err := x.parse(head)
		if err != nil {
			return nil, err
		}
		if _, err := x.caller.Write(head); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, x.copyResponseBody(resp, from)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// parse returns the response that begins with a head.
func (x *rawExchange) parse(head []byte) (*http.Response, error) {
	if err := forward.CheckRawHead(head); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), x.request)
	if err != nil {
		return nil, err
	}
	return resp, forward.CheckHead(resp)
}

func (x *rawExchange) copyResponseBody(resp *http.Response, from *bufio.Reader) error {
	bodyless := x.request.Method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	switch {
	case bodyless:
		return nil
	case slices.Contains(resp.TransferEncoding, "chunked"):
		return copyChunked(x.caller, from, checkTrailers)
	case resp.ContentLength >= 0:
		_, err := io.CopyN(x.caller, from, resp.ContentLength)
		return err
	default:
		resp.Close = true
		return x.copyToEnd(from)
	}
}

// copyToEnd copies a body that the end of the connection delimits. Until it is complete, a close resets the
// caller's connection, so that the caller doesn't take a part of it for the whole.
func (x *rawExchange) copyToEnd(from io.Reader) error {
	sockopt.SetResetOnClose(x.caller, true)
	if _, err := io.Copy(x.caller, from); err != nil {
		(&sockopt.Sends{Conn: x.caller.Conn}).LingerBeforeReset()
		return err
	}
	sockopt.SetResetOnClose(x.caller, false)
	return nil
}

// splice copies bytes both ways after a protocol switch, until both directions are
// closed. The older system may send first, so copying from it does not wait for the
// caller's first byte.
func (x *rawExchange) splice() {
	older := x.caller.older
	done := make(chan struct{})
	go func() {
		defer close(done)
		if <-x.next == nil {
			_, _ = io.Copy(older, x.reader) // either end may go away at any time
			closeWrite(older.Conn)
		}
	}()
	_, _ = io.Copy(x.caller, older.reader) // as above
	closeWrite(x.caller.Conn)
	<-done
}

// closeWrite closes the writing half of the connection, if it has one.
func closeWrite(c net.Conn) {
	if t, ok := c.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite() // the peer may be gone
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
