package measure

import (
	"context"
	"time"
)

// Control is what one fleet showed while the configuration changed.
type Control struct {
	Nodes int  `json:"nodes"`
	Zones int  `json:"zones"`
	Size  Size `json:"size"`
	// Load is the machine's load average of the last minute at the start.
	Load string `json:"load"`
	// StartSeconds is the time from the start of the first process until the
	// first version was in force everywhere.
	StartSeconds float64 `json:"startSeconds"`
	// Start is what the nodes used from their start until they were settled.
	Start Usage `json:"start"`
	// Idle is what the nodes used while nothing changed.
	Idle Usage `json:"idle"`
	// Nodes1 are the times from acceptance until a node served with the
	// version, over all nodes and single changes; Last1 those until the last
	// node did, over the changes.
	Nodes1 Times `json:"eachNode"`
	Last1  Times `json:"lastNode"`
	// Known are the times until the change was reported to be in force.
	Known Times `json:"knownInForce"`
	// Changing is what was used while single changes were made.
	Changing Usage `json:"changing"`
	// BytesPerChange are the mean bytes that a node sent for a single change,
	// beyond idling. PayloadPerChange are those of Delta, Fetch and Advert.
	BytesPerChange   float64 `json:"bytesPerChange"`
	PayloadPerChange float64 `json:"payloadPerChange"`
	// BurstChanges were sent in a row without a pause, BurstLast is the time
	// from the acceptance of the last until all nodes held it, and
	// BurstSeconds the whole time. BurstBytes are for each change, beyond
	// idling.
	BurstChanges int     `json:"burstChanges"`
	BurstLast    float64 `json:"burstLastMillis"`
	BurstSeconds float64 `json:"burstSeconds"`
	BurstBytes   float64 `json:"burstBytesPerChange"`
	// Baseline is what plain pollers beside the fleet showed, or nil.
	Baseline *Baseline `json:"baseline,omitempty"`
}

// RunControl measures one fleet.
func RunControl(ctx context.Context, o Options) (*Control, error) {
	c := &Control{Nodes: o.Nodes, Zones: o.Zones, Size: o.Size, Load: loadAverage()}
	began := time.Now()
	r, err := newRig(ctx, o)
	defer r.stop()
	if err != nil {
		return nil, err
	}
	c.StartSeconds = time.Since(began).Seconds()
	if err := sleep(ctx, settle); err != nil {
		return nil, err
	}
	s, err := read(r.fleet)
	if err != nil {
		return nil, err
	}
	c.Start = use(sample{at: began}, s)
	if c.Idle, err = r.watch(func() error { return sleep(ctx, o.Idle) }); err != nil {
		return nil, err
	}
	if err := r.single(ctx, c); err != nil {
		return nil, err
	}
	return c, r.burst(ctx, c)
}

// single makes single changes, with pollers beside the fleet where asked for.
func (r *rig) single(ctx context.Context, c *Control) error {
	var poll *pollers
	if r.opts.Baseline {
		poll = startPollers(ctx, r.fleet.PlatformURL(), r.opts.Nodes)
		defer poll.stop()
		if err := sleep(ctx, settle/2); err != nil {
			return err
		}
	}
	from := time.Now()
	var versions []uint64
	var known []time.Duration
	var err error
	c.Changing, err = r.watch(func() error {
		versions, known, err = r.makeChanges(ctx)
		return err
	})
	if err != nil {
		return err
	}
	accepted, err := r.accepted(ctx)
	if err != nil {
		return err
	}
	c.Known = times(known)
	if err := r.convergence(ctx, c, versions, accepted, from); err != nil {
		return err
	}
	n := float64(len(versions))
	c.BytesPerChange = (c.Changing.BytesPerSecond - c.Idle.BytesPerSecond) * c.Changing.Seconds / n
	for _, kind := range []string{"delta", "fetch", "advert"} {
		c.PayloadPerChange += (c.Changing.Kinds[kind] - c.Idle.Kinds[kind]) * c.Changing.Seconds / n
	}
	if poll != nil {
		c.Baseline = poll.result(versions, accepted)
	}
	return nil
}

// makeChanges makes changes one after the other, and returns their versions and
// the time that each took until it was known to be in force.
func (r *rig) makeChanges(ctx context.Context) ([]uint64, []time.Duration, error) {
	var versions []uint64
	var known []time.Duration
	for range r.opts.Changes {
		began := time.Now()
		v, err := r.change(ctx)
		if err != nil {
			return nil, nil, err
		}
		if err := r.inForce(ctx, v); err != nil {
			return nil, nil, err
		}
		known = append(known, time.Since(began))
		versions = append(versions, v)
		if err := sleep(ctx, pause); err != nil {
			return nil, nil, err
		}
	}
	return versions, known, nil
}

func (r *rig) convergence(ctx context.Context, c *Control, versions []uint64, accepted map[uint64]time.Time, from time.Time) error {
	var each, last []time.Duration
	for _, v := range versions {
		at, err := r.converged(ctx, v, from)
		if err != nil {
			return err
		}
		worst := time.Duration(0)
		for _, t := range at {
			took := t.Sub(accepted[v])
			each = append(each, took)
			worst = max(worst, took)
		}
		last = append(last, worst)
	}
	c.Nodes1, c.Last1 = times(each), times(last)
	return nil
}

// burst makes changes without a pause.
func (r *rig) burst(ctx context.Context, c *Control) error {
	from := time.Now()
	var newest uint64
	u, err := r.watch(func() error {
		for range r.opts.Burst {
			v, err := r.change(ctx)
			if err != nil {
				return err
			}
			newest = v
		}
		return r.inForce(ctx, newest)
	})
	if err != nil || r.opts.Burst == 0 {
		return err
	}
	accepted, err := r.accepted(ctx)
	if err != nil {
		return err
	}
	at, err := r.converged(ctx, newest, from)
	if err != nil {
		return err
	}
	for _, t := range at {
		c.BurstLast = max(c.BurstLast, millis(t.Sub(accepted[newest])))
	}
	c.BurstChanges = r.opts.Burst
	c.BurstSeconds = u.Seconds
	c.BurstBytes = (u.BytesPerSecond - c.Idle.BytesPerSecond) * u.Seconds / float64(r.opts.Burst)
	return nil
}
