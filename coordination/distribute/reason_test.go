package distribute

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
)

// Guards against a reason that is cut within a character, so that no peer can read the rejection.
func TestRejectionCutWithinACharacterCanBeRead(t *testing.T) {
	for shift := range 4 {
		c := New(DefaultConfig(), endpoint.Record{Node: "a", Zone: "z"}, 1)
		c.reject(time.Unix(1, 0), "b", 7, errors.New(strings.Repeat("x", shift)+strings.Repeat("😀", maxReasonBytes)+"\xff"))
		b, err := message.Encode(&message.Rejections{Zone: "z", Rejections: []message.Rejection{*c.lastRejection}})
		must.NoError(t, err)
		_, err = message.Decode(b)
		must.NoError(t, err)
	}
}
