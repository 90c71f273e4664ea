package sidecar

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

// versionsBase returns a configuration whose limits and timeouts no run of a test comes near.
func versionsBase() map[string]any {
	all := routesFree("")
	for i := range all {
		all[i].TimeoutMillis = 60_000
	}
	body := platformtest.KeyedConfig("r2", []string{"booking", "other"},
		[]platformtest.Organisation{{Name: "clinic", Keys: []string{clinicKey}, PerSecond: 1000, Burst: 1000}, {Name: "hotel", Keys: []string{hotelKey}}}, all...)
	var c map[string]any
	if err := json.Unmarshal(body, &c); err != nil {
		panic(err) // it was encoded just now
	}
	setColumn(c, "routes", platformtest.FieldTarget, 60_000)
	setLimits(c, "headerTimeoutMs", 60_000, "idleTimeoutMs", 600_000, "maxHeaderBytes", 16384)
	return c
}

func setLimits(c map[string]any, settings ...any) {
	for i := 0; i < len(settings); i += 2 {
		c["limits"].(map[string]any)[settings[i].(string)] = settings[i+1]
	}
}

// setColumn sets a column of every row of a table.
func setColumn(c map[string]any, table, column string, value any) {
	t := c[table].(map[string]any)
	at := slices.Index(t["columns"].([]any), any(column))
	for _, row := range t["rows"].([]any) {
		row.([]any)[at] = value
	}
}

func dropRows(c map[string]any, table string, from, to int) {
	t := c[table].(map[string]any)
	t["rows"] = slices.Delete(t["rows"].([]any), from, to)
}

// change is one kind of change of the configuration.
type change struct {
	name  string
	apply func(c map[string]any)
	// endsIdle says that connections may be closed while they are idle.
	endsIdle bool
}

func changes() []change {
	split := func(booking, other int) []map[string]any {
		return []map[string]any{{"service": "booking", "weight": booking}, {"service": "other", "weight": other}}
	}
	return []change{
		{name: "idle timeout", endsIdle: true, apply: func(c map[string]any) { setLimits(c, "idleTimeoutMs", 1) }},
		{name: "header timeout", apply: func(c map[string]any) { setLimits(c, "headerTimeoutMs", 30_000) }},
		{name: "header bytes", apply: func(c map[string]any) { setLimits(c, "maxHeaderBytes", 1) }},
		{name: "body bytes", apply: func(c map[string]any) { setLimits(c, "maxBodyBytes", 1) }},
		{name: "timeout and target of routes", apply: func(c map[string]any) {
			setColumn(c, "routes", "timeoutMs", 1)
			setColumn(c, "routes", platformtest.FieldTarget, 1)
		}},
		{name: "kind of routes", apply: func(c map[string]any) { setColumn(c, "routes", "routeType", platformtest.Upload) }},
		{name: "routes that move", apply: func(c map[string]any) { setColumn(c, "routes", "service", "other") }},
		{name: "routes that go", apply: func(c map[string]any) { dropRows(c, "routes", 0, 2) }},
		{name: "regions of routes", apply: func(c map[string]any) { setColumn(c, "routes", "allowedRegions", []string{"nowhere"}) }},
		{name: "weights", apply: func(c map[string]any) { setColumn(c, "routes", platformtest.FieldSplit, split(1, 1000)) }},
		{name: "keys", apply: func(c map[string]any) { dropRows(c, "tenants", 0, 1) }},
		{name: "all organisations", apply: func(c map[string]any) { delete(c, "tenants") }},
		{name: "quota", apply: func(c map[string]any) {
			setColumn(c, "tenants", platformtest.FieldRate, 1)
			setColumn(c, "tenants", "burst", 1)
		}},
		{name: "quota that goes", apply: func(c map[string]any) {
			setColumn(c, "tenants", platformtest.FieldRate, 0)
			setColumn(c, "tenants", "burst", 0)
		}},
		{name: "connections of services", apply: func(c map[string]any) { setColumn(c, "services", "maxConnections", 1) }},
	}
}

func TestChangeOfTheConfigurationCutsNothing(t *testing.T) {
	f := newVersionsFleet(t, 2, 16)
	for i, one := range changes() {
		t.Run(one.name, func(t *testing.T) {
			f.t = t
			name := fmt.Sprintf("n%d", i)
			u := f.begin(name)
			c := versionsBase()
			one.apply(c)
			f.put(c)
			f.answerFirst(u, name)
			f.put(versionsBase())
			f.answerHeld(u, name)
			f.end(u, name, one.endsIdle)
		})
	}
}

func TestSeriesOfVersionsCutsNothing(t *testing.T) {
	f := newVersionsFleet(t, 2, 16)
	u := f.begin("series")
	for i, one := range changes() {
		c := versionsBase()
		one.apply(c)
		f.put(c)
		if i == 0 {
			f.answerFirst(u, "series")
		}
	}
	f.answerHeld(u, "series")
	f.put(versionsBase())
	f.end(u, "series", true)
}

func TestChangeOfTheConfigurationCutsNoRequestThatWaitsForASlot(t *testing.T) {
	f := newVersionsFleet(t, 1, 4)
	m := f.nodes[0]
	for i, one := range changes() {
		t.Run(one.name, func(t *testing.T) {
			f.t = t
			name := fmt.Sprintf("n%d", i)
			running, queued := f.dial(m), f.dial(m)
			for n := range m.backend.Slots {
				running.ask(fmt.Sprintf("%s%s-%d", heldPath, name, n))
			}
			f.eventually("all slots are in use", func() bool { return f.count(name) == m.backend.Slots })
			queued.ask("/status/"+name+"-a", "/status/"+name+"-b")
			f.eventually("requests wait for a slot", func() bool { return m.node.gate.Load().Queued == 2 })
			c := versionsBase()
			one.apply(c)
			f.put(c)
			must.Eq(t, 2, m.node.gate.Load().Queued)
			close(f.gate(name))
			running.answers()
			queued.answers()
			f.put(versionsBase())
			f.nothingCut()
		})
	}
}
