package logging

import (
	"bytes"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	got     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.got.Write(p)
}

func TestLogNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		a := NewAsync(out)
		const lines = 10_000
		for range lines {
			_, err := a.Write([]byte("line\n"))
			must.NoError(t, err)
		}
		must.Eq(t, lines-asyncBurst, int(a.Dropped()))
		close(out.release)
		a.Close()
		must.Eq(t, asyncBurst, bytes.Count(out.got.Bytes(), []byte("\n")))
	})
}

func TestAsyncResumesAfterBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		a := NewAsync(&out)
		for range 2 * asyncBurst {
			_, _ = a.Write([]byte("x\n"))
		}
		before := a.Dropped()
		time.Sleep(time.Second)
		for range asyncPerSecond {
			_, _ = a.Write([]byte("x\n"))
		}
		must.Eq(t, before, a.Dropped())
		a.Close()
	})
}

func TestDetailsReserveTokensForOtherLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		a := NewAsync(&out)
		const seconds, refusals, attempts = 10, 60, 240 // per second
		for range seconds {
			for i := range refusals {
				for range attempts / refusals {
					_, _ = a.Details().Write([]byte("attempt\n"))
				}
				_, _ = a.Write([]byte("refusal " + strconv.Itoa(i) + "\n"))
				time.Sleep(time.Second / refusals)
			}
		}
		a.Close()
		must.Eq(t, seconds*refusals, bytes.Count(out.Bytes(), []byte("refusal")))
		must.Positive(t, bytes.Count(out.Bytes(), []byte("attempt")))
	})
}

func TestLinesAboutRequestsDoNotCrowdOutThoseAboutState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		a := NewAsync(out)
		const seconds, refusals = 5, 1000 // per second
		for i := range seconds {
			for range refusals {
				_, _ = a.Write([]byte("refusal\n"))
				time.Sleep(time.Second / refusals)
			}
			_, _ = a.State().Write([]byte("state " + strconv.Itoa(i) + "\n"))
		}
		close(out.release)
		a.Close()
		must.Eq(t, seconds, bytes.Count(out.got.Bytes(), []byte("state")))
	})
}

func TestCloseDoesNotWaitForBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		a := NewAsync(out)
		_, err := a.Write([]byte("line\n"))
		must.NoError(t, err)
		began := time.Now()
		a.Close()
		must.LessEq(t, flushTime, time.Since(began))
		close(out.release)
	})
}
