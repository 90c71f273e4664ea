package entry

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/coordination/retry"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
	"github.com/jacinthgate/jacinthgate/state/suspect"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// Config configures a Proxy. The functions and interfaces must be safe for
// concurrent use.
type Config struct {
	// Self is this node.
	Self model.NodeID
	// Zone is this node's availability zone.
	Zone model.Zone
	// Region is this node's region.
	Region model.Region
	// Seed seeds the defaults of Balance and Retry.
	Seed uint64
	// Snapshot returns the configuration held, or nil. It is one atomic load.
	Snapshot func() *snapshot.Snapshot
	// View returns the endpoints known, or nil. It is one atomic load.
	View func() *endpoint.View
	// Ready reports whether the node may serve with what it holds.
	Ready func() bool
	// Suspects returns the requests that are suspected to crash backend servers. It is
	// one atomic load. Nil suspects none.
	Suspects func() *suspect.View
	// Admit, Balance, Retry and Claim take the decisions. A node gives its
	// own. Nil takes AdmitAll, a balance.Picker, a retry.Retrier without
	// budgets and NoClaim.
	Admit   Admitter
	Balance Balancer
	Retry   Retrier
	Claim   Claimer
	// Gate sends to gates. It should be a *forward.Client. Nil takes one with
	// the default settings.
	Gate http.RoundTripper
	// GateScheme is "http", or "https" where Gate uses TLS.
	GateScheme string
	// OlderAddr is the older system's TCP address, IP:port. Empty when there
	// is none.
	OlderAddr string
	// OlderDialTimeout bounds opening a connection to the older system.
	OlderDialTimeout time.Duration
	// MaxHops bounds a chain of calls; one more is taken for a loop.
	MaxHops int
	// MaxHeaderBytes bounds a request's head, in bytes.
	MaxHeaderBytes int
	// MaxReplayBody bounds the body kept for a retry, in bytes. A larger one
	// is streamed and never sent again.
	MaxReplayBody int64
	// RetryAfter is when a refused caller is asked to come back where nothing
	// better is known.
	RetryAfter time.Duration
	// HeaderTimeout bounds reading a request's head.
	HeaderTimeout time.Duration
	// IdleTimeout closes a caller's idle connection.
	IdleTimeout time.Duration
	// MaxMetricOrganisations bounds the organisations with their own histograms; the
	// others share one named "other".
	MaxMetricOrganisations int
	// Metrics is the set that metrics are registered in.
	Metrics *metrics.Set
	// Logger gets one line for each event.
	Logger log.Logger
	// Now is the clock.
	Now func() time.Time
}

// DefaultConfig returns the settings that don't depend on the node.
func DefaultConfig() Config {
	return Config{
		Admit:                  AdmitAll{},
		Claim:                  NoClaim{},
		GateScheme:             "http",
		OlderDialTimeout:       time.Second,
		MaxHops:                16,
		MaxHeaderBytes:         32 << 10,
		MaxReplayBody:          64 << 10,
		RetryAfter:             time.Second,
		HeaderTimeout:          10 * time.Second,
		IdleTimeout:            2 * time.Minute,
		MaxMetricOrganisations: 200,
		Logger:                 log.NewNopLogger(),
		Now:                    time.Now,
	}
}

// withDefaults fills in what was left empty.
func (c Config) withDefaults() Config {
	d := DefaultConfig()
	setIfZero(&c.GateScheme, d.GateScheme)
	setIfZero(&c.OlderDialTimeout, d.OlderDialTimeout)
	setIfZero(&c.MaxHops, d.MaxHops)
	setIfZero(&c.MaxHeaderBytes, d.MaxHeaderBytes)
	setIfZero(&c.MaxReplayBody, d.MaxReplayBody)
	setIfZero(&c.RetryAfter, d.RetryAfter)
	setIfZero(&c.HeaderTimeout, d.HeaderTimeout)
	setIfZero(&c.IdleTimeout, d.IdleTimeout)
	setIfZero(&c.MaxMetricOrganisations, d.MaxMetricOrganisations)
	setIfZero(&c.Admit, d.Admit)
	setIfZero(&c.Claim, d.Claim)
	setIfZero(&c.Logger, d.Logger)
	if c.Now == nil {
		c.Now = d.Now
	}
	if c.Balance == nil {
		c.Balance = balance.New(balance.DefaultConfig(), c.Zone, c.Region, c.Seed)
	}
	if c.Retry == nil {
		c.Retry = retry.New(retry.DefaultConfig(), c.Seed)
	}
	if c.Gate == nil {
		c.Gate = forward.NewClient(forward.DefaultClientConfig())
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return c
}

func setIfZero[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}
