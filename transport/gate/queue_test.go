package gate

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

func TestNodeBoundsTheQueue(t *testing.T) {
	cases := []struct{ service, node, want int }{{5, 0, 5}, {5, 3, 3}, {5, 8, 5}, {0, 3, 0}}
	for _, tc := range cases {
		g := New(Config{MaxQueue: tc.node})
		must.Eq(t, tc.want, g.queueLength(&model.Service{QueueLength: tc.service}), must.Sprint(tc))
	}
}
