package node

import (
	"sync/atomic"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
	"github.com/jacinthgate/jacinthgate/state/suspect"
)

// published is what the event loop hands to other goroutines. The loop stores,
// everybody loads.
type published struct {
	snapshot atomic.Pointer[snapshot.Snapshot]
	view     atomic.Pointer[endpoint.View]
	suspects atomic.Pointer[suspect.View]
	ready    atomic.Bool
	// reader says that this node holds its zone's lease.
	reader    atomic.Bool
	selfState atomic.Pointer[selfState]
}

// selfState is what a node tells a new peer of itself.
type selfState struct {
	record endpoint.Record
	held   snapshot.Ref
	ready  bool
	digest []message.ZoneDigest
}

// Snapshot returns the configuration to serve with, or nil.
func (p *published) Snapshot() *snapshot.Snapshot { return p.snapshot.Load() }

// View returns the endpoints known.
func (p *published) View() *endpoint.View { return p.view.Load() }

// Ready reports whether the node may serve.
func (p *published) Ready() bool { return p.ready.Load() }

// Service returns the configuration of a service, or nil when it is not held.
func (p *published) Service(name string) *model.Service {
	s := p.snapshot.Load()
	if s == nil {
		return nil
	}
	e := s.Service(name)
	if e == nil {
		return nil
	}
	return e.Service
}

// hello returns the first message to a peer.
func (g *selfState) hello() message.Hello {
	return message.Hello{
		Protocol: message.ProtocolVersion,
		Record:   g.record,
		Held:     g.held,
		Ready:    g.ready,
		Digest:   g.digest,
	}
}

// welcome returns the answer to a Hello, but for what is known of its sender.
func (g *selfState) welcome() *message.Welcome {
	return &message.Welcome{
		Protocol: message.ProtocolVersion,
		Record:   g.record,
		Held:     g.held,
		Ready:    g.ready,
		Digest:   g.digest,
	}
}
