package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/jacinthgate/jacinthgate/coordination/quota"
	"github.com/jacinthgate/jacinthgate/coordination/random"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/route"
)

// Config configures a Desk.
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

// Desk lets requests in by the quotas of organisations, and keeps the books of some. It is
// safe for concurrent use.
type Desk struct {
	cfg      Config
	rand     *random.Source
	book     *quota.Book
	members  atomic.Pointer[quota.Members]
	quotas   atomic.Pointer[map[string]model.Rate]
	accounts sync.Map // organisation -> *account
	lines    sync.Map // organisation -> *line of loans
	counts   *counts
	suspects suspects

	mu sync.Mutex // orders changes of members and quotas
}

// New returns a desk. It lets nothing but small pieces in before it is told its members.
func New(cfg Config) *Desk {
	d := &Desk{cfg: cfg, rand: random.New(cfg.Seed), book: quota.NewBook(cfg.Bounds), counts: newCounts(cfg.Metrics)}
	d.quotas.Store(&map[string]model.Rate{})
	return d
}

// SetMembers tells the members of the fleet.
func (d *Desk) SetMembers(m *quota.Members) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members.Store(m)
	d.keep()
}

// SetOrganisations tells the organisations of the configuration in force. Quotas that were
// changed hold at once.
func (d *Desk) SetOrganisations(all map[string]*route.Organisation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	quotas := make(map[string]model.Rate)
	for name, o := range all {
		if o.Quota != nil {
			quotas[name] = *o.Quota
		}
	}
	d.quotas.Store(&quotas)
	d.accounts.Range(func(key, value any) bool {
		name, _ := key.(string)
		if rate, limited := quotas[name]; limited {
			value.(*account).Follow(rate)
		} else {
			d.accounts.Delete(name)
		}
		return true
	})
	d.keep()
}

// keep tells the book which organisations the node keeps.
func (d *Desk) keep() {
	now, m := d.cfg.Now(), d.members.Load()
	minting := m.Minting(now)
	share := 1.0
	if m != nil {
		share = m.Share
	}
	left := d.book.Keep(now, share, *d.quotas.Load(), func(organisation string) bool {
		if !minting {
			return false
		}
		first, _ := m.Keepers(d.cfg.Zone, organisation)
		return first.Node == d.cfg.Self
	})
	for organisation, tokens := range left {
		first, _ := m.Keepers(d.cfg.Zone, organisation)
		_ = d.cfg.Logger.Log("event", "quota_keeper_changed", "organisation", organisation, "keeper", first.Node)
		if tokens > 0 && first.Node != "" && first.Node != d.cfg.Self {
			go d.give(first, organisation, tokens)
		}
	}
}

// give hands the tokens of a book over to its new keeper.
func (d *Desk) give(to quota.Member, organisation string, tokens float64) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := d.cfg.Caller.Call(ctx, to, &Message{Kind: KindGive, Organisation: organisation, Want: tokens}); err != nil {
		d.unreachable(to, err)
	}
}

// account is what the node holds of an organisation, with the requests that wait.
type account struct {
	*quota.Account
	name string

	mu      sync.Mutex
	waiting []*waiter
	asking  bool
	counts  organisationCounts
}

func (d *Desk) account(o *route.Organisation) *account {
	if a, ok := d.accounts.Load(o.Name); ok {
		return a.(*account)
	}
	a := &account{Account: quota.NewAccount(*o.Quota), name: o.Name, counts: d.counts.of(o.Name)}
	held, _ := d.accounts.LoadOrStore(o.Name, a)
	return held.(*account)
}

// Take takes leave for one request of an organisation that has a quota. Where that is used
// up it returns false and when to come back. One that can only be late gets none while there
// are too few for those that aren't.
func (d *Desk) Take(ctx context.Context, o *route.Organisation, late bool) (after time.Duration, ok bool) {
	a := d.account(o)
	now := d.cfg.Now()
	if a.Account.Take(now) {
		a.counts.admitted.Inc()
		return 0, true
	}
	after, refused := a.Refused(now)
	if !refused && late {
		after, refused = a.Scarce(now)
	}
	if !refused {
		after, ok = d.wait(ctx, a)
	}
	if ok {
		a.counts.admitted.Inc()
	} else {
		a.counts.limited.Inc()
	}
	return after, ok
}

// Return gives leave back that was not used.
func (d *Desk) Return(o *route.Organisation) { d.account(o).Put(d.cfg.Now(), 1) }
