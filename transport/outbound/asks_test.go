package outbound

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// Guards against bodies that take the link of each gate that refuses them.
func TestLargeBodyIsSentOnlyWhereItWasAskedFor(t *testing.T) {
	large := make([]byte, forward.PieceBytes+1)
	must.True(t, (&requestBody{whole: large}).asksFirst())
	must.True(t, (&requestBody{stream: new(forward.StreamBody)}).asksFirst())
	must.False(t, (&requestBody{whole: large[1:]}).asksFirst())
	must.False(t, (&requestBody{}).asksFirst())
}
