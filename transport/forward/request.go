package forward

import (
	"context"
	"io"
	"net/http"
	"net/url"
)

// noUserAgent is the mark by which neither Client nor net/http's own client adds
// a User-Agent.
var noUserAgent = []string{""}

// blank is copied for each request.
var blank = http.Request{Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}

// extraHeaders is room for the headers that the caller of NewRequest adds.
const extraHeaders = 8

// NewRequest returns the request that passes in on to addr (IP:port) with the
// given body. Path, query, Host and end-to-end headers are kept; hop-by-hop
// headers are removed. The headers may be changed, their values may not. A
// body of unknown length has length -1; a nil body is none.
func NewRequest(ctx context.Context, in *http.Request, scheme, addr string, body io.ReadCloser, length int64) *http.Request {
	u := &url.URL{
		Scheme:   scheme,
		Host:     addr,
		Path:     in.URL.Path,
		RawPath:  in.URL.RawPath,
		RawQuery: in.URL.RawQuery,
		// A lone "?" is part of what the caller asked for.
		ForceQuery: in.URL.ForceQuery,
	}
	h := make(http.Header, len(in.Header)+extraHeaders)
	CopyHeader(h, in.Header)
	trailers := acceptsTrailers(h)
	RemoveHopByHop(h)
	if trailers {
		h["Te"] = []string{"trailers"}
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = noUserAgent
	}
	out := blank.WithContext(ctx) // one copy in place of two
	out.Method = in.Method
	out.URL = u
	out.Host = in.Host
	out.Header = h
	out.Body = body
	out.ContentLength = length
	if body != nil {
		out.Trailer = in.Trailer // the server fills it in at the body's end
	}
	return out
}
