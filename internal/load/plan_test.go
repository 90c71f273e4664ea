package load

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

func TestAddresses(t *testing.T) {
	got, err := ParseAddresses("127.0.0.1:80, [::1]:81,")
	must.NoError(t, err)
	must.Eq(t, []string{"127.0.0.1:80", "[::1]:81"}, got)
	for _, bad := range []string{"192.0.2.1:80", "0.0.0.0:80", "localhost:80", "127.0.0.1", "127.0.0.1:0"} {
		_, err := ParseAddresses("127.0.0.1:80," + bad)
		var typed *AddressError
		must.True(t, errors.As(err, &typed), must.Sprint(bad))
	}
}

func TestPlan(t *testing.T) {
	b, err := json.Marshal(ExamplePlan())
	must.NoError(t, err)
	parsed, err := ParsePlan(b)
	must.NoError(t, err)
	must.Eq(t, ExamplePlan(), parsed)
	changes := map[string]func(*Plan){
		"endless":          func(p *Plan) { p.Duration = 0 },
		"too long":         func(p *Plan) { p.Duration = model.Duration(2 * MaxDuration) },
		"unbounded":        func(p *Plan) { p.Requests = MaxRequests + 1 },
		"no loop":          func(p *Plan) { p.Loop = "" },
		"no classes":       func(p *Plan) { p.Classes = nil },
		"no rate":          func(p *Plan) { p.Classes[0].Rate = 0 },
		"unsafe retry":     func(p *Plan) { p.Classes[2].Retries = 1 },
		"repeated unkeyed": func(p *Plan) { p.Classes[0].Repeats = 1 },
		"keyed, no body":   func(p *Plan) { p.Classes[1].Body = 0 },
	}
	for name, change := range changes {
		p := ExamplePlan()
		change(&p)
		var typed *PlanError
		must.True(t, errors.As(p.Validate(), &typed), must.Sprint(name))
	}
	_, err = ParsePlan([]byte(`{"sed": 1}`))
	must.Error(t, err)
}

func all(p Plan) []operation {
	s := newSchedule(p)
	var ops []operation
	for op, ok := s.next(); ok; op, ok = s.next() {
		ops = append(ops, op)
	}
	return ops
}

func TestSchedule(t *testing.T) {
	p := ExamplePlan()
	ops := all(p)
	must.Eq(t, ops, all(p), must.Sprint("the same seed gives other operations"))
	byClass := make([]float64, len(p.Classes))
	last := time.Duration(0)
	for _, op := range ops {
		must.True(t, op.at >= last && op.at < p.Duration.Std())
		last = op.at
		byClass[op.class]++
	}
	for i, c := range p.Classes {
		want := c.Rate * p.Duration.Std().Seconds()
		must.InDelta(t, want, byClass[i], want/4+10, must.Sprint(c.Name))
	}
	p.Seed++
	must.NotEq(t, ops, all(p))
	p.Requests = 7
	must.Len(t, 7, all(p))
}
