package sidecar

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/coordination/freshness"
	"github.com/jacinthgate/jacinthgate/internal/bootclock"
	"github.com/jacinthgate/jacinthgate/transport/outbound"
)

// proving keeps the proof that the configuration in force is current. The loop owns it but
// for proof, which requests read.
type proving struct {
	core  *freshness.Core
	proof *freshness.Proof
	// proved is what was told last.
	proved bool
}

// newProving returns nil where requests need no proof.
func newProving(set *Settings, seed uint64) *proving {
	if !set.Revocation.RefuseUnproved {
		return nil
	}
	cfg := freshness.DefaultConfig(time.Duration(set.Revocation.Millis) * time.Millisecond)
	return &proving{core: freshness.New(cfg, seed), proof: freshness.NewProof(cfg, bootclock.Now)}
}

// currency returns the proof as requests see it; nil where they need none.
func (p *proving) currency() outbound.Freshness {
	if p == nil {
		return nil
	}
	return p.proof
}

// readWait returns how long a read of the store may wait for a change. Where reads prove that the
// configuration is current, it is bounded by how old a proof may get.
func (p *proving) readWait() time.Duration {
	if p == nil {
		return feedWait
	}
	return min(p.proof.ReadWait(), feedWait)
}

// began returns the moment at which a read begins.
func (p *proving) began() time.Time {
	if p == nil {
		return time.Time{}
	}
	return bootclock.Now()
}

// age is the proof's age in seconds; -1 without one.
func (p *proving) age() float64 {
	age, proved := p.proof.Age()
	if !proved {
		return -1
	}
	return age.Seconds()
}

// prove gives an event to the core of proofs.
func (l *loop) prove(ev core.Event) {
	if l.proving == nil {
		return
	}
	l.carryOut(time.Now(), l.proving.core.Step(bootclock.Now(), ev))
}

// proofChanged publishes what is proved. The routes that it counts for have been published
// before.
func (l *loop) proofChanged(a freshness.Changed) {
	l.proving.proof.Publish(a)
	switch {
	case a.Advanced && a.From == "":
		l.metrics.GetOrCreateCounter(`jacinthgate_proofs_total{from="store"}`).Inc()
	case a.Advanced:
		l.metrics.GetOrCreateCounter(`jacinthgate_proofs_total{from="peer"}`).Inc()
	}
	l.watchProof()
}

// watchProof tells when requests with a key begin to be refused, and when that ends.
func (l *loop) watchProof() {
	p := l.proving
	if p == nil || p.proved == (p.proof.Left() > 0) {
		return
	}
	p.proved = !p.proved
	version := l.pub.table.Load().Version() // what was proved has been published
	if p.proved {
		_ = level.Info(l.log).Log("event", "config_proved", "version", version, "age_s", p.age())
		return
	}
	_ = level.Warn(l.log).Log("event", "config_unproved", "version", version, "age_s", p.age())
}
