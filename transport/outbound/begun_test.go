package outbound

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// lateHalf is a body whose second half comes late, unless its context has ended by then.
type lateHalf struct {
	ctx  context.Context
	half string
	late time.Time
	read int
}

// Read implements io.Reader.
func (b *lateHalf) Read(p []byte) (int, error) {
	switch b.read {
	case 2 * len(b.half):
		return 0, io.EOF
	case len(b.half):
		select {
		case <-time.After(time.Until(b.late)):
		case <-b.ctx.Done():
		}
	}
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	n := copy(p, b.half[b.read%len(b.half):])
	b.read += n
	return n, nil
}

// Guards against a response that the gate has begun to relay and that is cut at its deadline together with
// those behind it on the caller's connection.
func TestBegunResponseIsDeliveredPastItsDeadline(t *testing.T) {
	half := strings.Repeat("x", 100<<10)
	for name, length := range map[string]int{"buffered": maxKept / 2, "streamed": len(half)} {
		t.Run(name, func(t *testing.T) {
			part := half[:length]
			p := proxyWithGate(t, func(r *http.Request) (*http.Response, error) {
				if r.URL.Path == "/late" {
					body := &lateHalf{r.Context(), part, time.Now().Add(1300 * time.Millisecond), 0}
					return relayedResponse(int64(2*len(part)), body), nil
				}
				return relayedResponse(int64(len(r.URL.Path)), strings.NewReader(r.URL.Path)), nil
			})
			p.cfg.ResponseExtension = time.Minute
			got := pipeline(t, p, "/late", "/behind")
			must.SliceLen(t, 2, got) // the second one is answered or refused
			must.Eq(t, 2*len(part), len(got[0]))
		})
	}
}
