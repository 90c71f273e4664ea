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
	// Bounds tells how strictly quotas are kept.
	Bounds quota.Config
	// Caller sends messages to other nodes.
	Caller Caller
	// Seed seeds the random choices.
	Seed uint64
	// Metrics is the set that metrics are registered in.
	Metrics *metrics.Set
	// Logger gets one line for each event.
	Logger log.Logger
	// Now is the clock.
	Now func() time.Time
}

// Limiter decides which requests the quotas of their organisations let in, and holds the ledgers
// that this node owns. It is safe for concurrent use.
type Limiter struct {
	cfg      Config
	rand     *random.Source
	ledger   *quota.Ledger
	members  atomic.Pointer[quota.Members]
	quotas   atomic.Pointer[map[string]model.Rate] // of the configuration in force
	queues   sync.Map                              // organisation -> *queue
	loans    sync.Map                              // organisation -> *loan
	counts   *counts
	suspects suspects

	mu sync.Mutex // orders changes of members and quotas
}

// New returns a Limiter. It lets nothing but small even shares in before it is told its members.
func New(cfg Config) *Limiter {
	l := &Limiter{cfg: cfg, rand: random.New(cfg.Seed), ledger: quota.NewLedger(cfg.Bounds), counts: newCounts(cfg.Metrics)}
	l.quotas.Store(&map[string]model.Rate{})
	return l
}

// SetMembers tells the members of the fleet.
func (l *Limiter) SetMembers(m *quota.Members) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members.Store(m)
	l.suspects.retain(m)
	l.own()
}

// SetOrganisations tells the organisations of the configuration in force. Quotas that were
// changed hold at once.
func (l *Limiter) SetOrganisations(all map[string]*route.Organisation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	quotas := make(map[string]model.Rate)
	for name, o := range all {
		if o.Quota == nil {
			continue
		}
		if len(name) > maxName {
			_ = level.Warn(l.cfg.Logger).Log("event", "quota_name_too_long", "organisation", name[:maxName], "bytes", len(name), "most", maxName)
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
	l.own()
}

// own tells the ledger which organisations the node owns, and hands over what it no longer does.
func (l *Limiter) own() {
	now, m := l.cfg.Now(), l.members.Load()
	mayOwn := m.MayOwn(now)
	share := 1.0
	if m != nil {
		share = m.LiveFraction
	}
	quotas := *l.quotas.Load()
	// Hashing all members for all organisations takes long in a large fleet: not while
	// requests wait for the ledger.
	owned := make(map[string]struct{})
	for organisation := range quotas {
		if first, _ := m.Owners(l.cfg.Zone, organisation); mayOwn && first.Node == l.cfg.Self {
			owned[organisation] = struct{}{}
		}
	}
	left := l.ledger.SetOwned(now, share, quotas, owned)
	for organisation, tokens := range left {
		first, _ := m.Owners(l.cfg.Zone, organisation)
		_ = l.cfg.Logger.Log("event", "quota_owner_changed", "organisation", organisation, "owner", first.Node)
		if tokens > 0 && first.Node != "" && first.Node != l.cfg.Self {
			go l.give(first, organisation, tokens)
		}
	}
}

// give hands the tokens of a ledger over to its new owner.
func (l *Limiter) give(to quota.Member, organisation string, tokens float64) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := l.cfg.Caller.Call(ctx, to, &Message{Kind: KindTransfer, Organisation: organisation, Want: tokens}); err != nil {
		l.unreachable(to, err)
	}
}

// queue holds the requests of an organisation that wait for tokens, and the node's lease.
type queue struct {
	*quota.Lease
	name string

	mu      sync.Mutex
	waiting []*waiter
	asking  bool
	counts  organisationCounts
}

// queue returns an organisation's queue, and makes it for its first request.
func (l *Limiter) queue(o *route.Organisation) *queue {
	if q, ok := l.queues.Load(o.Name); ok {
		return q.(*queue)
	}
	fresh := &queue{Lease: quota.NewLease(*o.Quota), name: o.Name, counts: l.counts.of(o.Name)}
	held, _ := l.queues.LoadOrStore(o.Name, fresh)
	q := held.(*queue)
	// The request may still hold an older configuration than the one in force, which may
	// change once more meanwhile.
	for quotas := (*map[string]model.Rate)(nil); quotas != l.quotas.Load(); {
		quotas = l.quotas.Load()
		if rate, limited := (*quotas)[o.Name]; limited {
			q.SetRate(rate)
		}
	}
	return q
}

// Take takes a token for one request of an organisation that has a quota. Where the quota is
// used up it returns false and when to come back. A late request, which can no longer be
// answered in time, gets none while there are too few for the others.
func (l *Limiter) Take(ctx context.Context, o *route.Organisation, late bool) (after time.Duration, ok bool) {
	q := l.queue(o)
	now := l.cfg.Now()
	if q.Lease.Take(now) {
		q.counts.admitted.Inc()
		return 0, true
	}
	after, refused := q.RefuseLocally(now)
	if !refused && late {
		after, refused = q.Scarce(now)
	}
	if !refused {
		after, ok = l.wait(ctx, q)
	}
	if ok {
		q.counts.admitted.Inc()
	} else {
		q.counts.limited.Inc()
	}
	return after, ok
}

// Return gives a token back that was not used.
func (l *Limiter) Return(o *route.Organisation) { l.queue(o).Put(l.cfg.Now(), 1) }
