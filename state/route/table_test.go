package route

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

func testRoute(host, prefix string) Route {
	return Route{Name: host + prefix, Host: host, Prefix: prefix, Attempts: 1, Splits: []Split{{Service: "s", Weight: 1}}}
}

func newTestTable(t *testing.T, routes ...Route) *Table {
	t.Helper()
	tab, err := NewTable(Config{Version: 1, Routes: routes, Services: []Service{{Name: "s", Connections: 5}, {Name: "t"}}}, Policy{})
	must.NoError(t, err)
	return tab
}

func TestLongestPrefixWins(t *testing.T) {
	tab := newTestTable(t, testRoute("a", "/"), testRoute("a", "/x/"), testRoute("a", "/x/y/"), testRoute("b", "/x/"))
	for path, want := range map[string]string{
		"/": "a/", "/x": "a/", "/x/": "a/x/", "/x/z": "a/x/", "/x/y": "a/x/", "/x/y/": "a/x/y/", "/x/y/z/w": "a/x/y/", "/xy/": "a/",
	} {
		got := tab.Lookup("A:8080", path)
		must.NotNil(t, got, must.Sprint(path))
		must.Eq(t, want, got.Name, must.Sprint(path))
	}
	must.Nil(t, tab.Lookup("b", "/y/"))
	must.Nil(t, tab.Lookup("c", "/x/"))
	must.Nil(t, tab.Lookup("b", ""))
	must.Nil(t, tab.Lookup("b", "x"))
}

func TestSplitFollowsTheWeights(t *testing.T) {
	r := testRoute("a", "/")
	r.Splits = []Split{{"s", 90}, {"t", 10}}
	picked := newTestTable(t, r).Lookup("a", "/")
	counts := map[string]int{}
	for i := range 1000 {
		counts[picked.Pick(float64(i)/1000)]++
	}
	must.Eq(t, map[string]int{"s": 900, "t": 100}, counts)
}

// A faulty route must not disable the other routes, and its requests must not fall through to a
// route with a shorter prefix.
func TestFaultyRouteIsRefusedAlone(t *testing.T) {
	bad := func(change func(*Route)) Route {
		r := testRoute("a", "/x/")
		change(&r)
		return r
	}
	for name, routes := range map[string][]Route{
		"bare prefix":     {bad(func(r *Route) { r.Prefix = "/x" })},
		"no slash":        {bad(func(r *Route) { r.Prefix = "x/" })},
		"no attempts":     {bad(func(r *Route) { r.Attempts = 0 })},
		"unknown service": {bad(func(r *Route) { r.Splits = []Split{{"u", 1}} })},
		"no weight":       {bad(func(r *Route) { r.Splits = []Split{{"s", 0}} })},
		"same place":      {testRoute("a", "/x/"), testRoute("A", "/x/")},
	} {
		tab, err := NewTable(Config{Routes: append([]Route{testRoute("a", "/")}, routes...), Services: []Service{{Name: "s"}}}, Policy{})
		must.NoError(t, err, must.Sprint(name))
		must.Len(t, 1, tab.Faults(), must.Sprint(name))
		invalid, ok := errors.AsType[*InvalidError](tab.Faults()[0])
		must.True(t, ok, must.Sprint(name))
		must.NotEq(t, "", invalid.Reason)
		must.NoError(t, tab.Lookup("a", "/y").Fault)
		if found := tab.Lookup("a", "/x/y"); found.Name == "a/x/" && name != "same place" {
			must.Error(t, found.Fault, must.Sprint(name))
		}
	}
}

func TestConfigurationWithoutAUsableRouteIsRefusedWhole(t *testing.T) {
	faulty := testRoute("a", "/x/")
	faulty.Attempts = 0
	_, err := NewTable(Config{Routes: []Route{faulty, faulty}, Services: []Service{{Name: "s"}}}, Policy{})
	_, ok := errors.AsType[*InvalidError](err)
	must.True(t, ok)
}

func TestRepeatable(t *testing.T) {
	for kind, want := range map[model.ClassKind]bool{
		model.KindInteractive: true, model.KindBulk: true, model.KindNonRepeatable: false, model.KindUpload: false,
	} {
		must.Eq(t, want, (&Route{Kind: kind}).Repeatable())
	}
}
