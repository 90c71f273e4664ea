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
	// Snapshot returns the held configuration, or nil. It is one atomic load.
	Snapshot func() *snapshot.Snapshot
	// View returns the current endpoints, or nil. It is one atomic load.
	View func() *endpoint.View
	// Ready reports whether the node may serve with the configuration it holds.
	Ready func() bool
	// Suspects returns the requests that are suspected of crashing backend servers. It
	// is one atomic load. If Suspects is nil, no request is quarantined.
	Suspects func() *suspect.View
	// Admit, Balance, Retry and Claim are the policies; a node supplies its own. The
	// defaults are AdmitAll, a balance.Picker, a retry.Retrier without budgets and
	// NoClaim.
	Admit   Admitter
	Balance Balancer
	Retry   Retrier
	Claim   Claimer
	// Gate sends requests to gates. It should be a *forward.Client. The default is
	// one with the default settings.
	Gate http.RoundTripper
	// GateScheme is "http", or "https" where Gate uses TLS.
	GateScheme string
	// OlderAddr is the older system's TCP address, IP:port. Empty when there
	// is none.
	OlderAddr string
	// OlderDialTimeout bounds opening a connection to the older system.
	OlderDialTimeout time.Duration
	// MaxHops bounds the hops in a chain of calls; a longer chain is treated as a
	// loop and refused.
	MaxHops int
	// MaxHeaderBytes bounds a request's head, in bytes.
	MaxHeaderBytes int
	// MaxReplayBody is the largest body that is buffered for retries, in bytes. A
	// larger one is streamed; it is sent again only if none of the stream was read.
	MaxReplayBody int64
	// RetryAfter is the default Retry-After delay of a refusal, used where no better
	// estimate is available.
	RetryAfter time.Duration
	// ResponseExtension is how long past its deadline a response that has begun may take while it
	// makes progress.
	ResponseExtension time.Duration
	// HeaderTimeout bounds reading a request's head.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which a caller's idle connection is closed.
	IdleTimeout time.Duration
	// MaxMetricOrganisations bounds the number of organisations with their own
	// histograms; all others share the label "other".
	MaxMetricOrganisations int
	// Metrics is the set that metrics are registered in.
	Metrics *metrics.Set
	// Logger receives one line for each event.
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
		ResponseExtension:      forward.DefaultResponseExtension,
		HeaderTimeout:          10 * time.Second,
		IdleTimeout:            2 * time.Minute,
		MaxMetricOrganisations: 200,
		Logger:                 log.NewNopLogger(),
		Now:                    time.Now,
	}
}

// withDefaults returns c with the default for each field that has the zero value and
// needs one.
func (c Config) withDefaults() Config {
	d := DefaultConfig()
	setIfZero(&c.GateScheme, d.GateScheme)
	setIfZero(&c.OlderDialTimeout, d.OlderDialTimeout)
	setIfZero(&c.MaxHops, d.MaxHops)
	setIfZero(&c.ResponseExtension, d.ResponseExtension)
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
