package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/quota"
	"github.com/jacinthgate/jacinthgate/coordination/random"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/route"
)

// Config configures a Limiter.
type Config struct {
	// Self is this node, and Zone its availability zone.
	Self model.NodeID
	Zone model.Zone
	// Bounds sets by how much requests may exceed their organisations' quotas.
	Bounds quota.Config
	// Caller sends messages to other nodes.
	Caller Caller
	// Seed seeds the random numbers by which an even share with less than one token admits requests.
	Seed uint64
	// Metrics is the set in which the metrics are registered.
	Metrics *metrics.Set
	// Logger receives one line for each event.
	Logger log.Logger
	// Now is the clock.
	Now func() time.Time
}

// Limiter admits a node's requests within the quotas of their organisations, and holds the ledgers
// that the node owns or serves as the standby. It is safe for concurrent use.
type Limiter struct {
	cfg      Config
	rand     *random.Source
	ledger   *quota.Ledger
	members  atomic.Pointer[quota.Members]
	quotas   atomic.Pointer[map[string]model.Rate] // by organisation, of the current configuration
	queues   sync.Map                              // organisation -> *queue
	loans    sync.Map                              // organisation -> *loan
	counters *counters
	suspects suspects

	mu sync.Mutex // serialises changes of members and quotas
}

// New returns a Limiter. Until SetMembers is called, it admits only requests within the even share
// of a node in a fleet of assumedFleetSize.
func New(cfg Config) *Limiter {
	l := &Limiter{cfg: cfg, rand: random.New(cfg.Seed), ledger: quota.NewLedger(cfg.Bounds), counters: newCounters(cfg.Metrics)}
	l.quotas.Store(&map[string]model.Rate{})
	return l
}

// SetMembers sets the members of the fleet.
func (l *Limiter) SetMembers(m *quota.Members) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members.Store(m)
	l.suspects.retain(m)
	l.updateOwnership()
}

// SetOrganisations sets the organisations of the current configuration. Changed quotas apply
// immediately.
func (l *Limiter) SetOrganisations(all map[string]*route.Organisation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	quotas := make(map[string]model.Rate)
	for name, o := range all {
		if o.Quota == nil {
			continue
		}
		if len(name) > maxNameBytes {
			_ = level.Warn(l.cfg.Logger).Log("event", "quota_name_too_long", "organisation", name[:maxNameBytes], "bytes", len(name), "most", maxNameBytes)
			continue
		}
		quotas[name] = *o.Quota
	}
	l.quotas.Store(&quotas)
	l.queues.Range(func(key, value any) bool {
		name, _ := key.(string)
		if rate, limited := quotas[name]; limited {
			value.(*queue).SetRate(rate)
		} else {
			l.queues.Delete(name)
		}
		return true
	})
	l.loans.Range(func(key, _ any) bool {
		name, _ := key.(string)
		if _, limited := quotas[name]; !limited {
			l.loans.Delete(name)
		}
		return true
	})
	l.updateOwnership()
}

// updateOwnership sets the organisations whose ledgers this node owns. It transfers the tokens of
// ledgers that the node no longer owns to their new owners.
func (l *Limiter) updateOwnership() {
	now, m := l.cfg.Now(), l.members.Load()
	mayOwn := m.MayOwn(now)
	liveFraction := 1.0
	if m != nil {
		liveFraction = m.LiveFraction
	}
	quotas := *l.quotas.Load()
	// Hashing all members for all organisations takes long in a large fleet, so it is done before
	// SetOwned locks the ledger, for which requests wait.
	owned := make(map[string]struct{})
	for organisation := range quotas {
		if owner, _ := m.Owners(l.cfg.Zone, organisation); mayOwn && owner.Node == l.cfg.Self {
			owned[organisation] = struct{}{}
		}
	}
	released := l.ledger.SetOwned(now, liveFraction, quotas, owned)
	for organisation, tokens := range released {
		owner, _ := m.Owners(l.cfg.Zone, organisation)
		_ = l.cfg.Logger.Log("event", "quota_owner_changed", "organisation", organisation, "owner", owner.Node)
		if tokens > 0 && owner.Node != "" && owner.Node != l.cfg.Self {
			go l.transferTokens(owner, organisation, tokens)
		}
	}
}

// transferTokens sends the tokens of a ledger to its new owner.
func (l *Limiter) transferTokens(to quota.Member, organisation string, tokens float64) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := l.cfg.Caller.Call(ctx, to, &Message{Kind: KindTransfer, Organisation: organisation, Want: tokens}); err != nil {
		l.recordUnreachable(to, err)
	}
}

// queue holds an organisation's requests that wait for tokens, and the node's lease of tokens.
// One goroutine at a time requests tokens for all of them.
type queue struct {
	*quota.Lease
	name string

	mu         sync.Mutex
	waiting    []*waiter
	requesting bool // acquireRounds runs
	counters   organisationCounters
}

// queue returns an organisation's queue, which it creates on the first request.
func (l *Limiter) queue(o *route.Organisation) *queue {
	if q, ok := l.queues.Load(o.Name); ok {
		return q.(*queue)
	}
	created := &queue{Lease: quota.NewLease(*o.Quota), name: o.Name, counters: l.counters.forOrganisation(o.Name)}
	actual, _ := l.queues.LoadOrStore(o.Name, created)
	q := actual.(*queue)
	// The request may hold an older configuration than the current one, so its rate is replaced by
	// the current rate, until the quotas haven't changed in the meantime.
	for quotas := (*map[string]model.Rate)(nil); quotas != l.quotas.Load(); {
		quotas = l.quotas.Load()
		if rate, limited := (*quotas)[o.Name]; limited {
			q.SetRate(rate)
		}
	}
	return q
}

// Take takes a token for one request of an organisation that has a quota. If the quota is used
// up, it returns false and the Retry-After delay. A late request, which can no longer be served
// in time, gets no token while tokens are scarce: they are kept for the others.
func (l *Limiter) Take(ctx context.Context, o *route.Organisation, late bool) (retryAfter time.Duration, ok bool) {
	q := l.queue(o)
	now := l.cfg.Now()
	if q.Lease.Take(now) {
		q.counters.admitted.Inc()
		return 0, true
	}
	retryAfter, refused := q.RefuseLocally(now)
	if !refused && late {
		retryAfter, refused = q.Scarce(now)
	}
	if !refused {
		retryAfter, ok = l.wait(ctx, q)
	}
	if ok {
		q.counters.admitted.Inc()
	} else {
		q.counters.limited.Inc()
	}
	return retryAfter, ok
}

// Return returns an unused token to the organisation's lease.
func (l *Limiter) Return(o *route.Organisation) { l.queue(o).Put(l.cfg.Now(), 1) }
