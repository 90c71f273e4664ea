package forward

import (
	"context"
	"io"
	"net/http"
	"net/url"
)

// noUserAgent is the header value that keeps both Client and net/http's own client
// from sending a User-Agent.
var noUserAgent = []string{""}

// requestTemplate is copied for each request.
var requestTemplate = http.Request{Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}

// extraHeaders is the number of headers that the caller of NewRequest may add
// without growing the map.
const extraHeaders = 8

// NewRequest returns the request that forwards in to addr (IP:port) with the
// given body. Path, query, Host and end-to-end headers are kept; hop-by-hop
// headers are removed. Headers of the result may be added and removed, but their
// values, which it shares with in, must not be changed in place. length is -1 if
// the length of the body is unknown. A nil body means no body.
func NewRequest(ctx context.Context, in *http.Request, scheme, addr string, body io.ReadCloser, length int64) *http.Request {
	u := &url.URL{
		Scheme:   scheme,
		Host:     addr,
		Path:     in.URL.Path,
		RawPath:  in.URL.RawPath,
		RawQuery: in.URL.RawQuery,
		// A "?" without a query is part of the caller's target.
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
	out := requestTemplate.WithContext(ctx) // copies the template once, not twice
	out.Method = in.Method
	out.URL = u
	out.Host = in.Host
	out.Header = h
	out.Body = body
	out.ContentLength = length
	if body != nil {
		out.Trailer = in.Trailer // the HTTP server sets the values at the body's end
	}
	return out
}
