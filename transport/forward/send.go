package forward

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// Send sends req once and returns the response's head. The error is a
// *SendError. w gets the upstream's 1xx responses; nil drops them.
//
// rt should come from NewTransport. With another RoundTripper every failure
// after a connection was got counts as sent.
func Send(rt http.RoundTripper, req *http.Request, w http.ResponseWriter) (*http.Response, error) {
	preventReplay(req)
	a := &attempt{w: w}
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	if w != nil {
		trace.Got1xxResponse = a.got1xx
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := rt.RoundTrip(req)
	sent := a.finish(err != nil)
	if err != nil {
		return nil, &SendError{Sent: sent, Err: err}
	}
	return resp, nil
}

// preventReplay shapes req so that http.Transport never repeats it by itself.
// Transport repeats a request on a reused connection when its body is empty or
// can be had again and its method or an Idempotency-Key header makes it look
// repeatable. An empty body of unknown length with the identity encoding goes
// over the wire as no body at all, but is not repeatable to Transport; a key
// in lower case is the same header to the receiver, but not to Transport.
func preventReplay(req *http.Request) {
	req.GetBody = nil
	for _, key := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if v, ok := req.Header[key]; ok {
			delete(req.Header, key)
			req.Header[lowerKeys[key]] = v
		}
	}
	empty := req.Body == nil || req.Body == http.NoBody
	if !empty || !repeatableMethod(req.Method) {
		return
	}
	req.Body = io.NopCloser(bytes.NewReader(nil))
	req.ContentLength = 0
	req.TransferEncoding = identityEncoding
}

var (
	identityEncoding = []string{"identity"}
	lowerKeys        = map[string]string{
		"Idempotency-Key":   "idempotency-key",
		"X-Idempotency-Key": "x-idempotency-key",
	}
)

func repeatableMethod(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// attempt observes one RoundTrip.
type attempt struct {
	mu    sync.Mutex
	w     http.ResponseWriter
	done  bool
	conn  *trackedConn
	start int64
	sent  bool
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle()
	a.conn = trackedOf(info.Conn)
	if a.conn == nil {
		a.sent = true
		return
	}
	a.start = a.conn.count()
}

// settle takes the connection in use into account. It seals it: a connection
// on which a request failed is not used again.
func (a *attempt) settle() {
	if a.conn != nil && a.conn.seal() > a.start {
		a.sent = true
	}
	a.conn = nil
}

// finish ends the observation and reports whether any byte may have been sent.
func (a *attempt) finish(failed bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done = true
	if failed {
		a.settle()
	}
	return a.sent
}

// got1xx runs on Transport's reading goroutine, possibly after RoundTrip has
// returned. "100 Continue" is not passed on: the server sends its own when the
// body is read.
func (a *attempt) got1xx(code int, header textproto.MIMEHeader) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || code == http.StatusContinue {
		return nil
	}
	h := a.w.Header()
	saved := h.Clone()
	CopyHeader(h, http.Header(header))
	RemoveHopByHop(h)
	a.w.WriteHeader(code)
	clear(h)
	CopyHeader(h, saved)
	return nil
}
