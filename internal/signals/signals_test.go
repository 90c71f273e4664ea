package signals

import (
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestTerminationIsNotLostBehindReloads(t *testing.T) {
	s := Catch()
	self := syscall.Getpid()
	for range 50 { // none of them is received from the channel
		must.NoError(t, syscall.Kill(self, syscall.SIGHUP))
		time.Sleep(time.Millisecond)
	}
	must.NoError(t, syscall.Kill(self, syscall.SIGTERM))
	must.Eq(t, syscall.SIGTERM, (<-s.Stop()).(syscall.Signal))
	must.Eq(t, syscall.SIGHUP, (<-s.Reload()).(syscall.Signal))
}
