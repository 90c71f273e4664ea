package vary

import (
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/shoenig/test/must"
)

const site = `
machines = [ { class = "side", cpu_share = 0.32, count = 2 } ]
services = [ { name = "a", slots = 9, speeds = [0.6, 1.0, 1.4] } ]
classes = [
  { name = "read", priority = 2, aim_ms = 400, deadline_ms = 1000, work_ms = { mean = 120.0, max = 720.0 } },
  { name = "write", priority = 0, aim_ms = 250, deadline_ms = 600, req_bytes = { mean = 300.0, max = 900.0 } },
]
traffic = [ { zone = "x", per_s = 100.0 } ]
[net]
cross_zone_ms = 0.9
client_ms = 8.0
[[day]]
name = "quiet"
traffic = [ { zone = "x", per_s = 50.0 } ]
`

func varied(t *testing.T, seed uint64) Site {
	t.Helper()
	var s Site
	_, err := toml.Decode(site, &s)
	must.NoError(t, err)
	Apply(s, seed)
	return s
}

func TestSeedDecidesTheSite(t *testing.T) {
	must.Eq(t, varied(t, 1), varied(t, 1))
	must.NotEq(t, varied(t, 1), varied(t, 2))
}

// Whatever is drawn, slots stay within their bounds, each day keeps its part of
// the load, and a deadline stays beyond its target.
func TestSitesMakeSense(t *testing.T) {
	for seed := range uint64(100) {
		s := varied(t, seed)
		slots := number(tables(s["services"])[0]["slots"])
		must.Between(t, minSlots, slots, maxSlots)
		usual := number(tables(s["traffic"])[0]["per_s"])
		quiet := number(tables(tables(s["day"])[0]["traffic"])[0]["per_s"])
		must.InDelta(t, usual/2, quiet, 0.01)
		for _, c := range tables(s["classes"]) {
			must.Less(t, number(c["deadline_ms"]), number(c["aim_ms"]))
		}
	}
}
