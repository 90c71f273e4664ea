package forward

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/suspect"
)

// fingerprintOf returns the fingerprint of a request. headers alternates names and values.
func fingerprintOf(method, url, body string, headers ...string) suspect.Fingerprint {
	r := httptest.NewRequest(method, url, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return Fingerprint(r, []byte(body))
}

func TestFingerprintIdentifiesRequest(t *testing.T) {
	first := fingerprintOf(http.MethodGet, "http://club.example/order/7?page=2", "")
	must.Eq(t, first, fingerprintOf(http.MethodGet, "http://Club.Example/order/7?page=2", "", "X-Request-Id", "another", "Jacinthgate-Caller", "stock"))
	for name, other := range map[string]suspect.Fingerprint{
		"method": fingerprintOf(http.MethodHead, "http://club.example/order/7?page=2", ""),
		"host":   fingerprintOf(http.MethodGet, "http://press.example/order/7?page=2", ""),
		"path":   fingerprintOf(http.MethodGet, "http://club.example/order/8?page=2", ""),
		"query":  fingerprintOf(http.MethodGet, "http://club.example/order/7?page=3", ""),
		"body":   fingerprintOf(http.MethodGet, "http://club.example/order/7?page=2", "x"),
		"border": fingerprintOf(http.MethodGet, "http://club.example/order/7page=2", ""),
		"caller": fingerprintOf(http.MethodGet, "http://club.example/order/7?page=2", "", "Authorization", "Bearer x"),
		"escape": fingerprintOf(http.MethodGet, "http://club.example/order%2F7?page=2", ""),
	} {
		must.NotEq(t, first, other, must.Sprint(name))
	}
}

func TestFingerprintRoundTrip(t *testing.T) {
	for _, f := range []suspect.Fingerprint{0, 1, 1 << 63, ^suspect.Fingerprint(0)} {
		got, err := suspect.ParseFingerprint(f.String())
		must.NoError(t, err)
		must.Eq(t, f, got)
	}
	for _, text := range []string{"", "-1", "0x1", "g", "10000000000000000"} {
		_, err := suspect.ParseFingerprint(text)
		var bad *suspect.FingerprintError
		must.True(t, errors.As(err, &bad))
	}
}

// The fingerprint is computed for every request. 48 KB is the largest body that is buffered.
func BenchmarkFingerprint(b *testing.B) {
	r := httptest.NewRequest(http.MethodPost, "http://club.example/order/7?page=2", nil)
	for _, size := range []int{300, 48 << 10} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			body := make([]byte, size)
			b.ReportAllocs()
			for b.Loop() {
				Fingerprint(r, body)
			}
		})
	}
}
