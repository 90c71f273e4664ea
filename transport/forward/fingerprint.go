package forward

import (
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthgate/jacinthgate/state/suspect"
)

// FingerprintBytes is how much of a request's body its fingerprint covers where
// the body is passed on as it comes, in bytes: it is read before anything is sent.
const FingerprintBytes = 4 << 10

// Fingerprint returns the fingerprint of a request of a caller, with the part of its
// body that is known. It covers what the request asks for and in whose name: method,
// host, path, query, credentials and body. The identifier, the node and the calling
// service differ from one attempt to the next and are left out.
func Fingerprint(r *http.Request, body []byte) suspect.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{r.Method, strings.ToLower(r.Host), r.URL.EscapedPath(), r.URL.RawQuery} {
		_, _ = d.WriteString(part)   // it never fails
		_, _ = d.WriteString("\x00") // no part holds it
	}
	for _, credentials := range r.Header["Authorization"] {
		_, _ = d.WriteString(credentials) // likewise
	}
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(body)
	return suspect.Fingerprint(d.Sum64())
}
