package eventqueue

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a caller that has given up and reads what the owner is writing. The race
// detector shows it.
func TestCallThatOutlivesItsCallerSharesNothingWithIt(t *testing.T) {
	for range 100 {
		q := New(1)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			call := <-q.Calls
			cancel()
			call()
		}()
		if answer, ran := Ask(ctx, q, func() int { return 1 }); ran {
			must.Eq(t, 1, answer)
		} else {
			must.Zero(t, answer)
		}
	}
}
