// Package vary makes site files that nobody has seen from one that is given: the
// same kinds of work and trouble with other sizes, speeds, delays and ranks. It
// guards policies against being fitted to the sites that they were measured on.
package vary

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Site is a site file as TOML gives it.
type Site map[string]any

// Ranges of the factors that are drawn. They span what the users' own sites
// differ by, and some more.
const (
	cpuLeast, cpuMost     = 0.7, 1.6
	slotsLeast, slotsMost = 0.5, 1.8
	workLeast, workMost   = 0.6, 1.6
	loadLeast, loadMost   = 0.8, 1.0
	delayLeast, delayMost = 0.4, 3.0
	bytesLeast, bytesMost = 0.4, 2.5
	// minSlots and maxSlots bound a backend server's slots.
	minSlots, maxSlots = 2, 30
)

// Apply changes the site by a seed. The same seed changes it in the same way.
func Apply(site Site, seed uint64) {
	v := &variation{rand: rand.New(rand.NewPCG(seed, 0x76617279))}
	slots, work := v.between(slotsLeast, slotsMost), v.between(workLeast, workMost)
	v.machines(site)
	slots = v.services(site, slots)
	v.classes(site, work)
	v.delays(site)
	v.load(site, slots/work*v.between(loadLeast, loadMost))
}

type variation struct{ rand *rand.Rand }

func (v *variation) between(least, most float64) float64 {
	return least + (most-least)*v.rand.Float64()
}

// machines changes what hosts have of a core.
func (v *variation) machines(site Site) {
	cpu := v.between(cpuLeast, cpuMost)
	for _, m := range tables(site["machines"]) {
		scale(m, "cpu_share", cpu)
	}
}

// services changes the slots and which servers are slow. It returns the factor of
// the slots after rounding.
func (v *variation) services(site Site, slots float64) float64 {
	before, after := 0.0, 0.0
	for _, s := range tables(site["services"]) {
		was := number(s["slots"])
		now := math.Round(min(max(was*slots, minSlots), maxSlots))
		before, after = before+was, after+now
		s["slots"] = int64(now)
		if speeds, ok := s["speeds"].([]any); ok {
			v.rand.Shuffle(len(speeds), func(i, j int) { speeds[i], speeds[j] = speeds[j], speeds[i] })
		}
	}
	return after / max(1, before)
}

// classes changes how long requests take, with their targets, how large they are,
// and which goes first.
func (v *variation) classes(site Site, work float64) {
	var ranks []any
	classes := tables(site["classes"])
	for _, c := range classes {
		if r, ok := c["priority"]; ok {
			ranks = append(ranks, r)
		}
	}
	v.rand.Shuffle(len(ranks), func(i, j int) { ranks[i], ranks[j] = ranks[j], ranks[i] })
	for _, c := range classes {
		if _, ok := c["priority"]; ok {
			c["priority"], ranks = ranks[0], ranks[1:]
		}
		for _, name := range []string{"aim_ms", "deadline_ms", "timeout_ms"} {
			scaleWhole(c, name, work)
		}
		for _, w := range tables(c["work_ms"]) {
			scale(w, "mean", work)
			scale(w, "max", work)
		}
		size := v.between(bytesLeast, bytesMost)
		for _, name := range []string{"req_bytes", "resp_bytes"} {
			for _, b := range tables(c[name]) {
				scale(b, "mean", size)
				scale(b, "max", size)
			}
		}
	}
}

// delays changes the ways between zones and to clients.
func (v *variation) delays(site Site) {
	for _, n := range tables(site["net"]) {
		scale(n, "cross_zone_ms", v.between(delayLeast, delayMost))
		scale(n, "client_ms", v.between(delayLeast, delayMost))
	}
}

// load changes the requests a second, of each zone a little differently.
func (v *variation) load(site Site, by float64) {
	zones := map[any]float64{}
	change := func(traffic any) {
		for _, t := range tables(traffic) {
			if zones[t["zone"]] == 0 {
				zones[t["zone"]] = v.between(0.85, 1.15)
			}
			scale(t, "per_s", by*zones[t["zone"]])
		}
	}
	change(site["traffic"])
	for _, d := range tables(site["day"]) {
		change(d["traffic"])
	}
}

// tables returns the tables of a list, or the one table there is.
func tables(v any) []map[string]any {
	switch v := v.(type) {
	case map[string]any:
		return []map[string]any{v}
	case []map[string]any:
		return v
	case []any:
		var list []map[string]any
		for _, e := range v {
			if m, ok := e.(map[string]any); ok {
				list = append(list, m)
			}
		}
		return slices.Clip(list)
	}
	return nil
}

func number(v any) float64 {
	switch v := v.(type) {
	case int64:
		return float64(v)
	case float64:
		return v
	}
	return 0
}

// scale multiplies a number where there is one.
func scale(m map[string]any, name string, by float64) {
	if _, ok := m[name]; ok {
		m[name] = math.Round(number(m[name])*by*1000) / 1000
	}
}

// scaleWhole multiplies a number and keeps it whole.
func scaleWhole(m map[string]any, name string, by float64) {
	if _, ok := m[name]; ok {
		m[name] = int64(math.Round(number(m[name]) * by))
	}
}
