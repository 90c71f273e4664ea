// Package load offers a planned load to entry proxies, checks what the callers
// are told against what the backend servers ran, and compares calls through
// the mesh with direct ones. It is for trials on one machine: it sends to
// loopback addresses only, and every run is bounded in time and requests.
package load

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Loop says what decides when the next request is sent.
type Loop string

// The loops.
const (
	// LoopOpen sends at times that don't depend on the answers.
	LoopOpen Loop = "open"
	// LoopClosed lets each worker send its next request after an answer.
	LoopClosed Loop = "closed"
)

// Arrivals says how the arrivals of an open loop are spaced.
type Arrivals string

// The spacings.
const (
	// ArrivalsPoisson draws the gaps from an exponential distribution.
	ArrivalsPoisson Arrivals = "poisson"
	// ArrivalsConstant keeps all gaps of a class equal.
	ArrivalsConstant Arrivals = "constant"
)

// Bounds of a plan.
const (
	// MaxDuration is the longest run.
	MaxDuration = time.Hour
	// MaxRequests is the largest number of requests of a run, repeats and
	// retries not counted.
	MaxRequests = 5_000_000
	// MaxInFlight is the largest number of requests in flight.
	MaxInFlight = 20_000
	// MaxBody is the largest request body, in bytes.
	MaxBody = 8 << 20
	// MaxRetries is the largest number of retries of one request.
	MaxRetries = 10
)

// Plan is a load.
type Plan struct {
	// Seed makes the arrivals and choices repeatable.
	Seed uint64 `json:"seed"`
	// Loop is open or closed.
	Loop Loop `json:"loop"`
	// Arrivals spaces the requests of an open loop.
	Arrivals Arrivals `json:"arrivals,omitempty"`
	// Workers is the number of callers of a closed loop.
	Workers int `json:"workers,omitempty"`
	// Duration bounds the run; it is at most MaxDuration.
	Duration model.Duration `json:"duration"`
	// Requests bounds the number of requests; it is at most MaxRequests.
	Requests int `json:"requests"`
	// InFlight bounds the requests in flight of an open loop. Arrivals above
	// it are counted as unsent.
	InFlight int `json:"inFlight,omitempty"`
	// Classes are what is sent.
	Classes []Class `json:"classes"`
}

// Class is one kind of request.
type Class struct {
	// Organisation and Name label the class in the report.
	Organisation string `json:"organisation"`
	// Name is the name of the class.
	Name string `json:"name"`
	// Host is the HTTP Host.
	Host string `json:"host"`
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is the request path. Each "{n}" becomes a number below Spread.
	Path string `json:"path"`
	// Spread is the number of different paths; 0 means 1.
	Spread int `json:"spread,omitempty"`
	// Rate is the number of requests per second of an open loop, and the
	// class's weight in a closed loop.
	Rate float64 `json:"rate"`
	// Body is the size of the request body in bytes.
	Body int `json:"body,omitempty"`
	// Keyed gives each request an Idempotency-Key.
	Keyed bool `json:"keyed,omitempty"`
	// Repeats is the part of keyed requests, 0 to 1, that are sent twice at
	// the same time, to different addresses.
	Repeats float64 `json:"repeats,omitempty"`
	// Retries is how often the caller itself repeats a request that was not
	// answered, with the same key and at another address. It must be 0 unless
	// the class is keyed or its method is GET.
	Retries int `json:"retries,omitempty"`
	// Deadline is what the caller allows for one request.
	Deadline model.Duration `json:"deadline"`
	// Older says that the older system handles the class: its answers carry
	// no outcome.
	Older bool `json:"older,omitempty"`
}

// ParsePlan reads and checks a plan. It returns a *PlanError.
func ParsePlan(b []byte) (Plan, error) {
	var p Plan
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return Plan{}, &PlanError{Field: "document", Problem: err.Error()}
	}
	return p, p.Validate()
}

// Validate checks the plan's bounds. It returns a *PlanError.
func (p Plan) Validate() error {
	checks := []struct {
		ok             bool
		field, problem string
	}{
		{p.Loop == LoopOpen || p.Loop == LoopClosed, "loop", "is neither open nor closed"},
		{p.Loop != LoopOpen || p.Arrivals == ArrivalsPoisson || p.Arrivals == ArrivalsConstant,
			"arrivals", "are neither poisson nor constant"},
		{p.Loop != LoopClosed || within(p.Workers, 1, MaxInFlight), "workers", "are out of bounds"},
		{p.Loop != LoopOpen || within(p.InFlight, 1, MaxInFlight), "inFlight", "is out of bounds"},
		{p.Duration > 0 && p.Duration.Std() <= MaxDuration, "duration", "is out of bounds"},
		{within(p.Requests, 1, MaxRequests), "requests", "are out of bounds"},
		{len(p.Classes) > 0, "classes", "are missing"},
	}
	for _, c := range checks {
		if !c.ok {
			return &PlanError{Field: c.field, Problem: c.problem}
		}
	}
	for _, c := range p.Classes {
		if err := c.validate(); err != nil {
			return err
		}
	}
	return nil
}

// methods are those that a class may use.
var methods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete}

func (c Class) validate() error {
	checks := []struct {
		ok             bool
		field, problem string
	}{
		{c.Name != "" && c.Organisation != "", "name", "or organisation is missing"},
		{slices.Contains(methods, c.Method), "method", "is not GET, POST, PUT or DELETE"},
		{strings.HasPrefix(c.Path, "/"), "path", "does not start with a slash"},
		{c.Rate > 0, "rate", "is not above 0"},
		{within(c.Body, 0, MaxBody), "body", "is out of bounds"},
		{c.Spread >= 0, "spread", "is negative"},
		{c.Repeats >= 0 && c.Repeats <= 1, "repeats", "are not a part of 1"},
		{c.Repeats == 0 || c.Keyed, "repeats", "need a keyed class"},
		{c.Body > 0 || !c.Keyed, "body", "is empty but keyed: an answer could not be told from another's"},
		{c.Retries == 0 || c.Keyed || c.Method == http.MethodGet, "retries", "need a keyed class or GET"},
		{within(c.Retries, 0, MaxRetries), "retries", "are out of bounds"},
		{c.Deadline > 0 && c.Deadline.Std() <= MaxDuration, "deadline", "is out of bounds"},
	}
	for _, k := range checks {
		if !k.ok {
			return &PlanError{Class: c.Name, Field: k.field, Problem: k.problem}
		}
	}
	return nil
}

func within(n, low, high int) bool { return n >= low && n <= high }

// PlanError reports a plan that can't be run.
type PlanError struct {
	// Class is the class at fault; empty for the plan itself.
	Class string
	// Field is the JSON field at fault.
	Field string
	// Problem says what is wrong with it.
	Problem string
}

// Error implements error.
func (e *PlanError) Error() string {
	if e.Class != "" {
		return "plan: class " + e.Class + ": " + e.Field + " " + e.Problem
	}
	return "plan: " + e.Field + " " + e.Problem
}
