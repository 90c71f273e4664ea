package outbound

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/jacinthgate/jacinthgate/transport/forward"
)

const (
	// maxHeld bounds a large answer that is read whole before it is sent, in bytes.
	maxHeld = 512 << 10
	// maxHeldAll bounds all of those at one time, in bytes.
	maxHeldAll = 4 << 20
)

// hold reserves room to read a large answer whole where other requests stand behind it: if it
// broke off after its first byte was sent, their answers would be lost with it. It returns the
// bytes reserved; 0 where there is no need or no room.
func (x *exchange) hold(resp *http.Response) int64 {
	size := resp.ContentLength
	w, ok := x.w.(interface{ Followed() bool })
	if !ok || size <= x.p.cfg.MaxKept || size > maxHeld || !w.Followed() {
		return 0
	}
	if x.p.held.Add(size) > maxHeldAll {
		x.p.held.Add(-size)
		return 0
	}
	return size
}

// keep reads an answer's body whole where it has up to most bytes and is no event stream, so that
// it is ready before its turn among the caller's requests and can be replaced if it breaks off.
// Otherwise whole is false, and resp.Body is still to be passed on.
func (x *exchange) keep(resp *http.Response, most int64) (body []byte, whole bool, err error) {
	switch {
	case forward.IsEventStream(resp), resp.ContentLength > most:
		return nil, false, nil
	case x.r.Method == http.MethodHead:
		return nil, true, forward.ReadExactly(resp.Body, nil)
	case resp.ContentLength >= 0:
		body = make([]byte, resp.ContentLength)
		return body, true, forward.ReadExactly(resp.Body, body)
	}
	body, err = io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err != nil {
		_ = resp.Body.Close() // it has failed
		return nil, true, err
	}
	if int64(len(body)) > most || len(resp.Trailer) > 0 {
		resp.Body = rejoinedBody{io.MultiReader(bytes.NewReader(body), resp.Body), resp.Body}
		return nil, false, nil
	}
	_ = resp.Body.Close() // it was read to its end
	resp.Header["Content-Length"] = []string{strconv.Itoa(len(body))}
	return body, true, nil
}

// rejoinedBody is a body whose beginning was read before.
type rejoinedBody struct {
	io.Reader
	io.Closer
}
