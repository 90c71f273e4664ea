package forward

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = [...]string{
	"Connection",
	"Proxy-Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// RemoveHopByHop removes the hop-by-hop headers from h, including those that its
// Connection header lists.
func RemoveHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// CopyHeader adds all headers of src to dst. Both share the values, which must
// not be changed in place.
func CopyHeader(dst, src http.Header) {
	for k, v := range src {
		if old := dst[k]; len(old) > 0 {
			dst[k] = append(old[:len(old):len(old)], v...)
			continue
		}
		dst[k] = v
	}
}

// acceptsTrailers reports whether the TE header of h accepts trailers.
func acceptsTrailers(h http.Header) bool {
	for _, line := range h["Te"] {
		for name := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(textproto.TrimString(name), "trailers") {
				return true
			}
		}
	}
	return false
}
