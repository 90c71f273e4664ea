package measure

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/accept"
	"github.com/jacinthgate/jacinthgate/coordination/distribute"
	"github.com/jacinthgate/jacinthgate/platform"
)

// Baseline is what plain pollers showed: each reads the platform's head as
// often as a zone's reader does, and each new version whole. They don't decode
// the version, and their bytes are those of TCP payloads.
type Baseline struct {
	Pollers int `json:"pollers"`
	// Each and Last are as in Control.
	Each Times `json:"eachNode"`
	Last Times `json:"lastNode"`
	// BytesPerSecond are read and sent by each poller, changes included, and
	// BytesPerChange those for a whole version.
	BytesPerSecond float64 `json:"bytesPerSecond"`
	BytesPerChange float64 `json:"bytesPerChange"`
	// Reads are the platform's, of all pollers, per second.
	Reads float64 `json:"platformReadsPerSecond"`
}

// keyPrefix is what the platform's client puts before keys.
const keyPrefix = "jacinthgate/"

// pollers are the nodes of the baseline.
type pollers struct {
	base    string
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	started time.Time
	all     []*poller
	bytes   atomic.Int64
	reads   atomic.Int64
	whole   atomic.Int64 // bytes of whole versions
	loads   atomic.Int64
}

// poller is one node of the baseline.
type poller struct {
	store   *platform.Store
	table   *platform.Tables
	objects *platform.Objects
	held    []applied
}

func startPollers(ctx context.Context, base string, n int) *pollers {
	ctx, cancel := context.WithCancel(ctx)
	p := &pollers{base: base, cancel: cancel, started: time.Now()}
	for range n {
		one := p.poller()
		p.all = append(p.all, one)
		p.wg.Go(func() { p.run(ctx, one) })
	}
	return p
}

// callTimeout bounds one call of a poller: those of a node are bounded alike.
const callTimeout = 2 * time.Second

// poller returns a poller with one connection, whose bytes are counted.
func (p *pollers) poller() *poller {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, bytes: &p.bytes}, nil
	}
	cfg := platform.DefaultStoreConfig(p.base)
	cfg.Dial, cfg.MaxConns = dial, 1
	s := platform.NewStore(cfg)
	return &poller{
		store:   s,
		table:   platform.NewTables(s, keyPrefix, callTimeout),
		objects: platform.NewObjects(s, keyPrefix, callTimeout),
	}
}

// countedConn counts what a connection carries both ways.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// run polls until ctx ends. A failed call is repeated with the next poll.
func (p *pollers) run(ctx context.Context, one *poller) {
	defer one.store.Close()
	interval := distribute.DefaultConfig().PollInterval
	if sleep(ctx, rand.N(interval)) != nil {
		return
	}
	for {
		_ = p.poll(ctx, one)
		if sleep(ctx, interval-interval/10+rand.N(interval/5)) != nil {
			return
		}
	}
}

// poll reads the head, and the version when it is new.
func (p *pollers) poll(ctx context.Context, one *poller) error {
	p.reads.Add(1)
	it, err := one.table.Get(ctx, accept.HeadKey)
	if err != nil {
		return err
	}
	head, err := accept.DecodeHead(it.Value)
	if err != nil {
		return err
	}
	if n := len(one.held); n > 0 && one.held[n-1].version >= head.Ref.Version {
		return nil
	}
	p.reads.Add(1)
	whole, err := one.objects.Get(ctx, accept.FullKey(head.Ref))
	if err != nil {
		return err
	}
	p.whole.Add(int64(len(whole)))
	p.loads.Add(1)
	one.held = append(one.held, applied{version: head.Ref.Version, at: time.Now()})
	return nil
}

// stop ends the pollers. It may be called more than once.
func (p *pollers) stop() {
	p.cancel()
	p.wg.Wait()
}

// result stops the pollers and returns what they showed.
func (p *pollers) result(versions []uint64, accepted map[uint64]time.Time) *Baseline {
	p.stop()
	seconds := time.Since(p.started).Seconds()
	b := &Baseline{Pollers: len(p.all), Reads: float64(p.reads.Load()) / seconds}
	b.BytesPerSecond = float64(p.bytes.Load()) / seconds / float64(len(p.all))
	b.BytesPerChange = float64(p.whole.Load()) / float64(max(p.loads.Load(), 1))
	var each, last []time.Duration
	for _, v := range versions {
		worst := time.Duration(0)
		for _, one := range p.all {
			at, ok := holds(one.held, v, accepted[v])
			if !ok {
				continue // ended before its next poll
			}
			each = append(each, at.Sub(accepted[v]))
			worst = max(worst, at.Sub(accepted[v]))
		}
		last = append(last, worst)
	}
	b.Each, b.Last = times(each), times(last)
	return b
}
