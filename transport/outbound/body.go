package outbound

import (
	"io"
	"net/http"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// requestBody is the body of a caller's request: kept whole where it is small, so
// that it can be sent again and a slow caller holds no slot, or else a stream.
type requestBody struct {
	whole  []byte
	stream *forward.StreamBody // nil where the body is kept
	// begin is the beginning of a stream, where it was read.
	begin []byte
}

// readBody reads a body of up to most bytes before anything is sent. The error is
// that of reading: the caller broke off.
func readBody(w http.ResponseWriter, r *http.Request, most int64) (requestBody, error) {
	switch {
	case r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0:
		return requestBody{}, nil
	case r.Header["Expect"] != nil:
		return requestBody{stream: forward.NewStreamBody(w, r)}, nil // the caller waits for leave to send it
	case r.ContentLength > most:
		return readBegin(w, r)
	case r.ContentLength < 0:
		return readChunked(w, r, most)
	}
	whole := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, whole)
	return requestBody{whole: whole}, err
}

// readBegin reads the beginning of a body that is passed on as it comes.
func readBegin(w http.ResponseWriter, r *http.Request) (requestBody, error) {
	begin := make([]byte, min(r.ContentLength, forward.FingerprintBytes))
	if _, err := io.ReadFull(r.Body, begin); err != nil {
		return requestBody{}, err
	}
	return streamed(w, r, begin), nil
}

// streamed returns the body whose beginning was read as a stream.
func streamed(w http.ResponseWriter, r *http.Request, begin []byte) requestBody {
	known := begin[:min(len(begin), forward.FingerprintBytes)]
	return requestBody{stream: forward.ResumeStreamBody(w, r, begin), begin: known}
}

// readChunked keeps a body of unknown length if it turns out to be small.
func readChunked(w http.ResponseWriter, r *http.Request, most int64) (requestBody, error) {
	head, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	if err != nil || int64(len(head)) <= most {
		return requestBody{whole: head}, err
	}
	return streamed(w, r, head), nil
}

// known returns the part of the body that was read.
func (b *requestBody) known() []byte {
	if b.stream != nil {
		return b.begin
	}
	return b.whole
}

// kept reports whether the body can be sent again.
func (b *requestBody) kept() bool { return b.stream == nil }

// source returns what to send, and its length; -1 is not known.
func (b *requestBody) source(r *http.Request) (io.ReadCloser, int64) {
	switch {
	case b.stream != nil:
		return b.stream, r.ContentLength
	case len(b.whole) > 0:
		return forward.NewBufferedBody(b.whole), int64(len(b.whole))
	}
	return nil, r.ContentLength
}

var (
	expectValue = []string{"100-continue"}
	askedValue  = []string{"1"}
)

// asksFirst reports whether a gate is asked before the body is sent to it: what a gate refuses
// would else have taken its host's link. A short one costs less than the asking.
func (b *requestBody) asksFirst() bool { return !b.kept() || len(b.whole) > forward.PieceBytes }

// expectContinue makes the body wait until the gate has a slot. A request that the gate refuses
// has then cost no bytes and can be sent elsewhere, since none of its body is consumed.
func (x *exchange) expectContinue(h http.Header) {
	if h["Expect"] != nil {
		return // set by the caller
	}
	h["Expect"] = expectValue
	h[outcome.HeaderAsked] = askedValue
}

// reclaim makes the body ready to be sent again, and reports false where a part
// of a stream is gone.
func (b *requestBody) reclaim() bool {
	if b.stream != nil {
		b.stream = b.stream.Reclaim()
		return b.stream != nil
	}
	return true
}
