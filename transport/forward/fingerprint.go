package forward

import (
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthgate/jacinthgate/state/suspect"
)

// FingerprintBytes is the length of the beginning of a streamed request body that
// the fingerprint covers, in bytes. It is read before anything is sent.
const FingerprintBytes = 4 << 10

// Fingerprint returns the fingerprint of a caller's request; body is the part of the
// request's body that has been read. It is a hash of what the request does and on whose
// behalf: method, host, path, query, credentials and body. The identifier, the node and
// the calling service are left out, since they differ from one attempt to the next.
func Fingerprint(r *http.Request, body []byte) suspect.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{r.Method, strings.ToLower(r.Host), r.URL.EscapedPath(), r.URL.RawQuery} {
		_, _ = d.WriteString(part)   // a Digest never fails to write
		_, _ = d.WriteString("\x00") // separator that no part contains
	}
	for _, credentials := range r.Header["Authorization"] {
		_, _ = d.WriteString(credentials) // never fails, as above
	}
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(body)
	return suspect.Fingerprint(d.Sum64())
}
