package backoff

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestDoubledDelayIsBounded(t *testing.T) {
	const first, longest = time.Second, 10 * time.Second
	for times, want := range map[int]time.Duration{
		-1: first, 0: first, 1: 2 * first, 3: 8 * first, 4: longest, 63: longest, 1 << 40: longest,
	} {
		must.Eq(t, want, Doubled(first, longest, times))
	}
}
