package headpack

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a frame that breaks off and passes for the end of a response without a length.
func TestFrameThatBreaksOffIsNoEnd(t *testing.T) {
	var wire bytes.Buffer
	c := Client(&writeOnlyConn{&wire})
	ends := map[int]bool{0: true}
	for _, part := range []string{"HTTP/1.1 200 OK\r\nX-Own: a\r\n\r\n", strings.Repeat("x", 300)} {
		_, err := c.Write([]byte(part))
		must.NoError(t, err)
		ends[wire.Len()] = true
	}
	for cut := range wire.Len() + 1 {
		_, err := io.ReadAll(Client(readOnlyConn{r: bytes.NewReader(wire.Bytes()[:cut])}))
		must.Eq(t, ends[cut], err == nil, must.Sprintf("%d of %d bytes: %v", cut, wire.Len(), err))
	}
}
