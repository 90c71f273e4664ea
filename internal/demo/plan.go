package demo

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/jacinthgate/jacinthgate/internal/fleet"
	"github.com/jacinthgate/jacinthgate/internal/load"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Sizes of the load.
const (
	maxRequests = 50_000
	maxInFlight = 500
	smallBody   = 256
	bulkBody    = 64 << 10
	// loadPart is the part of a contract's rate that is offered.
	loadPart = 0.3
	// repeatedPart is the part of keyed requests that are sent twice.
	repeatedPart = 0.1
)

// planOf offers a part of each contract's rate, spread over the routes that the
// mesh handles.
func planOf(docs model.Batch, d time.Duration) load.Plan {
	p := load.Plan{
		Seed:     1,
		Loop:     load.LoopOpen,
		Arrivals: load.ArrivalsPoisson,
		Duration: model.Duration(d),
		Requests: maxRequests,
		InFlight: maxInFlight,
	}
	for _, c := range docs.Contracts {
		p.Classes = append(p.Classes, classesOf(c)...)
	}
	return p
}

func classesOf(c *model.Contract) []load.Class {
	var out []load.Class
	for i := range c.Routes {
		r := &c.Routes[i]
		if c.HandledBy == model.SystemMesh && r.HandledBy != model.SystemOlder {
			out = append(out, classOf(c, r))
		}
	}
	for i := range out {
		out[i].Rate = loadPart * c.Rate.PerSecond / float64(len(out))
	}
	return out
}

func classOf(c *model.Contract, r *model.Route) load.Class {
	out := load.Class{
		Organisation: c.Organisation,
		Name:         r.Name,
		Host:         c.Hosts[0],
		Method:       http.MethodGet,
		Path:         strings.TrimSuffix(r.PathPrefix, "/") + "/{n}",
		Spread:       100,
		Deadline:     model.Duration(5 * time.Second),
	}
	if len(r.Methods) > 0 {
		out.Method = r.Methods[0]
	}
	switch kindOf(c, r.Class) {
	case model.KindNonRepeatable:
		out.Keyed, out.Body, out.Repeats, out.Retries = true, smallBody, repeatedPart, 1
	case model.KindBulk:
		out.Body = bulkBody
	}
	return out
}

func kindOf(c *model.Contract, class string) model.ClassKind {
	for i := range c.Classes {
		if c.Classes[i].Name == class {
			return c.Classes[i].Kind
		}
	}
	return ""
}

// address returns the IP:port of a URL.
func address(url string) string { return strings.TrimPrefix(url, "http://") }

// controlBytes sums the control bytes that the live nodes have sent.
func (s *show) controlBytes(ctx context.Context) float64 {
	sum := 0.0
	for _, m := range s.fleet.Members {
		if m.Alive() {
			sum += fleet.Counter(ctx, m, `jacinthgate_link_bytes_total{direction="out"`)
		}
	}
	return sum
}
