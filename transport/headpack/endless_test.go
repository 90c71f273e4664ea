package headpack

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against frames without content and without end, on which a read would spend processor time
// until its deadline.
func TestEmptyFramesEndTheConnection(t *testing.T) {
	for name, kind := range map[string]byte{"raw": frameRaw, "head": frameHead} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			defer near.Close()
			defer far.Close()
			go func() {
				for {
					if _, err := far.Write([]byte{kind, 0}); err != nil {
						return
					}
				}
			}()
			must.NoError(t, near.SetReadDeadline(time.Now().Add(time.Minute)))
			_, err := Server(near).Read(make([]byte, 100))
			var frame *FrameError
			must.True(t, errors.As(err, &frame), must.Sprint(err))
		})
	}
}
