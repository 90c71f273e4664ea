package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The load header contains the host's slowdown only if it isn't 100 percent, since older nodes
// can't parse it.
func TestLoadEncodesTheHostSlowdown(t *testing.T) {
	for text, l := range map[string]Load{
		"3/10/2":         {Used: 3, Slots: 10, Queued: 2},
		"3/10/2/1500":    {Used: 3, Slots: 10, Queued: 2, MeanServiceTime: 1500 * time.Microsecond},
		"3/10/2/1500/85": {Used: 3, Slots: 10, Queued: 2, MeanServiceTime: 1500 * time.Microsecond, Slowdown: 0.85},
		"3/10/2/0/250":   {Used: 3, Slots: 10, Queued: 2, Slowdown: 2.5},
	} {
		must.Eq(t, text, l.String())
		got, err := ParseLoad(text)
		must.NoError(t, err)
		must.Eq(t, l, got)
	}
	must.Eq(t, "3/10/2", Load{Used: 3, Slots: 10, Queued: 2, Slowdown: 1}.String())
	for _, text := range []string{"3/10/2/0", "3/10/2/5/", "3/10/2/5/0", "3/10/2/5/-1", "3/10/2/5/x", "3/10/2//250"} {
		_, err := ParseLoad(text)
		must.Error(t, err, must.Sprint(text))
	}
}
