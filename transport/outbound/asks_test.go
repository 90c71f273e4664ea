package outbound

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// Guards against large bodies that are sent to a gate only to be refused there, and so use the
// link of its host for nothing.
func TestLargeBodyWaitsForContinue(t *testing.T) {
	large := make([]byte, forward.PieceBytes+1)
	must.True(t, (&requestBody{whole: large}).needsContinue())
	must.True(t, (&requestBody{stream: new(forward.StreamBody)}).needsContinue())
	must.False(t, (&requestBody{whole: large[1:]}).needsContinue())
	must.False(t, (&requestBody{}).needsContinue())
}
