package outbound

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// requestBody is the body of a caller's request. A small one is buffered, so that it can be
// sent again and a slow caller occupies no slot; a larger one is streamed.
type requestBody struct {
	whole  []byte
	stream *forward.StreamBody // nil where the body is buffered
	// prefix is the prefix of a stream that was read ahead for the fingerprint.
	prefix []byte
}

// readBodyInTime reads the request's body as readBody does. Reading fails when the request's time is
// over, however slowly the caller sends the body.
func (x *exchange) readBodyInTime() (requestBody, error) {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return requestBody{}, nil
	}
	stop := context.AfterFunc(x.ctx, func() {
		_ = http.NewResponseController(x.w).SetReadDeadline(past) // a writer without support has no connection
	})
	b, err := readBody(x.w, x.r, x.p.cfg.MaxBodyBuffer)
	if !stop() && err == nil {
		err = x.ctx.Err() // the connection can't be read any more
	}
	return b, err
}

// past is a deadline that makes all pending reads fail.
var past = time.Unix(1, 0)

// readBody buffers a body of up to maxBytes bytes before anything is sent to a gate, and
// prepares a larger one for streaming. It returns an error where reading fails because the
// caller disconnected.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) (requestBody, error) {
	switch {
	case r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0:
		return requestBody{}, nil
	case r.Header["Expect"] != nil:
		return requestBody{stream: forward.NewStreamBody(w, r)}, nil // the caller waits for "100 Continue"
	case r.ContentLength > maxBytes:
		return readPrefix(w, r)
	case r.ContentLength < 0:
		return readChunked(w, r, maxBytes)
	}
	whole := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, whole)
	return requestBody{whole: whole}, err
}

// readPrefix reads the part of a streamed body that the fingerprint covers.
func readPrefix(w http.ResponseWriter, r *http.Request) (requestBody, error) {
	prefix := make([]byte, min(r.ContentLength, forward.FingerprintBytes))
	if _, err := io.ReadFull(r.Body, prefix); err != nil {
		return requestBody{}, err
	}
	return streamed(w, r, prefix), nil
}

// streamed returns a streamed body that starts with the prefix already read.
func streamed(w http.ResponseWriter, r *http.Request, prefix []byte) requestBody {
	known := prefix[:min(len(prefix), forward.FingerprintBytes)]
	return requestBody{stream: forward.ResumeStreamBody(w, r, prefix), prefix: known}
}

// readChunked reads a body of unknown length: it is buffered if it has at most
// maxBytes bytes, else streamed.
func readChunked(w http.ResponseWriter, r *http.Request, maxBytes int64) (requestBody, error) {
	read, err := io.ReadAll(io.LimitReader(r.Body, maxBytes+1))
	if err != nil || int64(len(read)) <= maxBytes {
		return requestBody{whole: read}, err
	}
	return streamed(w, r, read), nil
}

// readSoFar returns the part of the body that has been read, as input of the fingerprint.
func (b *requestBody) readSoFar() []byte {
	if b.stream != nil {
		return b.prefix
	}
	return b.whole
}

// buffered reports whether the whole body is in memory, so that it can be sent again.
func (b *requestBody) buffered() bool { return b.stream == nil }

// source returns the reader to send the body from and its length in bytes; -1 where the
// length is unknown.
func (b *requestBody) source(r *http.Request) (io.ReadCloser, int64) {
	switch {
	case b.stream != nil:
		return b.stream, r.ContentLength
	case len(b.whole) > 0:
		return forward.NewBufferedBody(b.whole), int64(len(b.whole))
	}
	return nil, r.ContentLength
}

var expectValue = []string{"100-continue"}

// needsContinue reports whether the body is sent only after the gate's "100 Continue":
// otherwise a body that the gate refuses would have used the link of its host for nothing.
// For a short body the additional round trip costs more than it saves.
func (b *requestBody) needsContinue() bool { return !b.buffered() || len(b.whole) > forward.PieceBytes }

// expectContinue holds the body back until the gate has a slot. A refused request has then
// transferred no body and can be sent to another server, since none of its body is consumed.
func (x *exchange) expectContinue(h http.Header) {
	if h["Expect"] != nil {
		return // set by the caller itself
	}
	h["Expect"] = expectValue
	h[outcome.HeaderExpectAdded] = flagValue
}

// reclaim makes the body ready to be sent again. It reports false where part of a stream
// has already been consumed.
func (b *requestBody) reclaim() bool {
	if b.stream != nil {
		b.stream = b.stream.Reclaim()
		return b.stream != nil
	}
	return true
}
