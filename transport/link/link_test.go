package link

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/peer"
	"github.com/jacinthgate/jacinthgate/transport/peer/memory"
)

// node is a manager under test with its log, metrics and recorded events.
type node struct {
	*Manager
	id      model.NodeID
	log     bytes.Buffer
	metrics *metrics.Set
	stop    context.CancelFunc

	mu     sync.Mutex
	events []string
}

// start runs a manager for the node id until the test ends. change, if not nil,
// adapts its configuration. Events are only read once record has been called.
func start(t *testing.T, tr peer.Transport, id model.NodeID, change func(*Config)) *node {
	n := &node{id: id, metrics: metrics.NewSet()}
	record := endpoint.Record{Node: id, Incarnation: 1, PeerAddr: tr.Addr()}
	cfg := DefaultConfig()
	cfg.Transport, cfg.Node, cfg.Metrics = tr, id, n.metrics
	cfg.Logger = log.NewLogfmtLogger(log.NewSyncWriter(&n.log))
	cfg.Hello = func(model.NodeID) message.Hello {
		return message.Hello{Protocol: message.ProtocolVersion, Record: record}
	}
	cfg.Welcome = func(h *message.Hello) *message.Welcome {
		return &message.Welcome{Protocol: message.ProtocolVersion, Record: record, LastHeld: 7}
	}
	if change != nil {
		change(&cfg)
	}
	n.Manager = New(cfg)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		n.Run(ctx)
		close(done)
	}()
	n.stop = func() {
		cancel()
		<-done
		tr.Close()
	}
	t.Cleanup(n.stop)
	return n
}

// record starts to read and record events, until the test ends.
func (n *node) record(t *testing.T) *node {
	go func() {
		for {
			select {
			case e := <-n.Events():
				n.mu.Lock()
				n.events = append(n.events, describe(e))
				n.mu.Unlock()
			case <-t.Context().Done():
				return
			}
		}
	}()
	return n
}

// describe returns a short text for an event.
func describe(e core.Event) string {
	switch e := e.(type) {
	case core.PeerUp:
		if e.Welcomed {
			return fmt.Sprintf("welcomed %s %d", e.Record.Node, e.LastHeld)
		}
		return fmt.Sprintf("up %s", e.Record.Node)
	case core.PeerDown:
		return fmt.Sprintf("down %s", e.Node)
	case core.DialFailed:
		return fmt.Sprintf("failed %s", e.Node)
	case core.Received:
		if f, ok := e.Message.(*message.Fetch); ok {
			return fmt.Sprintf("fetch %d", f.Have.Version)
		}
		return fmt.Sprintf("kind %d", e.Message.Kind())
	}
	return "?"
}

// takeEvents returns the events recorded since the last call, once all goroutines
// of the bubble are blocked.
func (n *node) takeEvents() []string {
	synctest.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	events := n.events
	n.events = nil
	return events
}

func (n *node) counter(name string) int {
	return int(n.metrics.GetOrCreateCounter(name).Get())
}

func (n *node) connections() int {
	n.Manager.mu.Lock()
	defer n.Manager.mu.Unlock()
	total := 0
	for _, r := range n.peers {
		total += len(r.conns)
	}
	return total
}

// fetch returns a message that the given version identifies in describe.
func fetch(version uint64) *message.Fetch {
	f := new(message.Fetch)
	f.Have.Version = version
	return f
}

// pair starts the nodes a and b with recorded events.
func pair(t *testing.T) (net *memory.Network, a, b *node) {
	net = memory.NewNetwork()
	a = start(t, net.Transport("a", "a:1"), "a", nil).record(t)
	b = start(t, net.Transport("b", "b:1"), "b", nil).record(t)
	return net, a, b
}

func TestConnectSendDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := pair(t)
		a.Connect("b", "b:1")
		must.Eq(t, []string{"welcomed b 7"}, a.takeEvents())
		must.Eq(t, []string{"up a"}, b.takeEvents())
		a.Connect("b", "b:1")
		must.Eq(t, []string{"welcomed b 7"}, a.takeEvents())
		must.NoError(t, a.Send("b", message.Normal, fetch(1)))
		must.NoError(t, b.Send("a", message.Urgent, &message.Advert{}))
		must.NoError(t, a.Send("nobody", message.Normal, fetch(2)))
		must.Eq(t, []string{"fetch 1"}, b.takeEvents())
		must.Eq(t, []string{fmt.Sprint("kind ", message.KindAdvert)}, a.takeEvents())
		must.Eq(t, 1, a.counter(`jacinthgate_link_dropped_total{reason="not_connected"}`))
		must.Greater(t, 0, b.counter(`jacinthgate_link_bytes_total{direction="in",kind="fetch"}`))
		b.Disconnect("a")
		must.Eq(t, []string{"down b"}, a.takeEvents())
		must.Eq(t, []string{"down a"}, b.takeEvents())
		a.Connect("b", "nowhere:1")
		must.Eq(t, []string{"failed b"}, a.takeEvents())
	})
}

func TestBothDialAtOnce(t *testing.T) {
	const messages = 40
	synctest.Test(t, func(t *testing.T) {
		net, a, b := pair(t)
		net.Cut([]string{"a:1"}, []string{"b:1"}) // neither connection is complete before both are dialled
		a.Connect("b", "b:1")
		b.Connect("a", "a:1")
		synctest.Wait()
		net.Heal([]string{"a:1"}, []string{"b:1"})
		synctest.Wait()
		must.Eq(t, 2, a.connections())
		for i := range messages {
			must.NoError(t, a.Send("b", message.Normal, fetch(uint64(i))))
			must.NoError(t, b.Send("a", message.Normal, fetch(uint64(i))))
			time.Sleep(2 * defaultHandshakeTimeout / messages)
		}
		for _, n := range []*node{a, b} {
			events := strings.Join(n.takeEvents(), "\n")
			must.Eq(t, messages, strings.Count(events, "fetch"))
			must.Eq(t, 0, strings.Count(events, "down"))
			must.Eq(t, 1, strings.Count(events, "welcomed"))
			must.Eq(t, 1, n.connections())
		}
		kept := func(n *node, other model.NodeID) bool { return n.peers[other].conns[0].dialled }
		must.Eq(t, model.NodeID("a").Key() < model.NodeID("b").Key(), kept(a, "b"))
		must.NotEq(t, kept(a, "b"), kept(b, "a"))
	})
}

func TestReconnectReplacesLostConnection(t *testing.T) {
	for _, incarnation := range []uint64{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			net, a, b := pair(t)
			a.Connect("b", "b:1")
			must.Eq(t, []string{"up a"}, b.takeEvents())
			if incarnation == 1 {
				time.Sleep(simultaneousDialTimeouts*defaultHandshakeTimeout + 1)
			}
			reconnected := start(t, net.Transport("a", "a:2"), "a", func(cfg *Config) {
				self := cfg.Hello("")
				self.Record.Incarnation = incarnation
				cfg.Hello = func(model.NodeID) message.Hello { return self }
			}).record(t)
			reconnected.Connect("b", "b:1")
			must.Eq(t, []string{"welcomed b 7"}, reconnected.takeEvents())
			must.Eq(t, []string{"down a", "up a"}, b.takeEvents())
			must.NoError(t, b.Send("a", message.Normal, fetch(1)))
			must.Eq(t, []string{"fetch 1"}, reconnected.takeEvents())
			if incarnation == 2 {
				a.Connect("b", "b:1")
				must.Eq(t, "down b", a.takeEvents()[1])
				must.StrContains(t, b.log.String(), "event=peer_refused reason=stale")
			}
		})
	}
}

func TestCutEndsConnectionUntilHealed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, a, b := pair(t)
		a.Connect("b", "b:1")
		synctest.Wait()
		net.Cut([]string{"a:1"}, []string{"b:1"})
		time.Sleep(memory.DefaultIdleTimeout)
		must.Eq(t, []string{"welcomed b 7", "down b"}, a.takeEvents())
		a.Connect("b", "b:1")
		time.Sleep(defaultHandshakeTimeout)
		must.Eq(t, []string{"failed b"}, a.takeEvents())
		net.Heal([]string{"a:1"}, []string{"b:1"})
		a.Connect("b", "b:1")
		must.Eq(t, []string{"up a", "down a", "up a"}, b.takeEvents())
	})
}

func TestRefusals(t *testing.T) {
	hello := func(change func(*message.Hello)) func(*Config) {
		return func(cfg *Config) {
			h := cfg.Hello("")
			change(&h)
			cfg.Hello = func(model.NodeID) message.Hello { return h }
		}
	}
	tests := []struct {
		reason  string
		dialled model.NodeID
		// change and peerChange adapt the dialling and the accepting node.
		change, peerChange func(*Config)
		byDialler          bool
	}{
		{reason: "identity", change: hello(func(h *message.Hello) { h.Record.Node = "x" })},
		{reason: "identity", change: hello(func(h *message.Hello) { h.Record.Node = "" })},
		{reason: "identity", dialled: "x", byDialler: true},
		{reason: "version", change: hello(func(h *message.Hello) { h.Protocol++ })},
		{reason: "self", peerChange: func(cfg *Config) { cfg.Node = "a" }},
		{reason: "max_peers", peerChange: func(cfg *Config) { cfg.MaxPeers = 0 }},
		{reason: "not_welcome", peerChange: func(cfg *Config) {
			cfg.Welcome = func(*message.Hello) *message.Welcome { return nil }
		}},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			net := memory.NewNetwork()
			a := start(t, net.Transport("a", "a:1"), "a", test.change).record(t)
			b := start(t, net.Transport("b", "b:1"), "b", test.peerChange).record(t)
			a.Connect(test.dialled, "b:1")
			must.Eq(t, []string{"failed " + string(test.dialled)}, a.takeEvents())
			refusing := b
			if test.byDialler {
				refusing = a
			}
			must.StrContains(t, refusing.log.String(), "event=peer_refused reason="+test.reason+" ")
			must.Eq(t, 1, refusing.counter(fmt.Sprintf("jacinthgate_link_refused_total{reason=%q}", test.reason)))
			must.Eq(t, 0, a.connections())
		})
	}
}

func TestBadMessagesCloseTheConnection(t *testing.T) {
	tests := map[string][]byte{
		"size":       make([]byte, message.MaxSize+1),
		"unexpected": {byte(message.KindHello), 0xa0},
	}
	for reason, payload := range tests {
		synctest.Test(t, func(t *testing.T) {
			_, a, b := pair(t)
			a.Connect("b", "b:1")
			must.Len(t, 1, a.takeEvents())
			must.NoError(t, a.peers["b"].conns[0].conn.Send(t.Context(), payload))
			must.Eq(t, []string{"up a", "down a"}, b.takeEvents())
			must.Eq(t, []string{"down b"}, a.takeEvents())
			must.StrContains(t, b.log.String(), "event=peer_refused reason="+reason+" node=a")
		})
	}
}

func TestSlowEventLoopCountsEveryDrop(t *testing.T) {
	const messages = 1000
	synctest.Test(t, func(t *testing.T) {
		net := memory.NewNetwork()
		a := start(t, net.Transport("a", "a:1"), "a", nil).record(t)
		b := start(t, net.Transport("b", "b:1"), "b", func(cfg *Config) { cfg.EventQueue = 1 })
		a.Connect("b", "b:1")
		synctest.Wait()
		for i := range messages {
			must.NoError(t, a.Send("b", message.Normal, fetch(uint64(i))))
		}
		synctest.Wait() // the writer is blocked: the first beacon is still queued when the second replaces it
		must.NoError(t, a.Send("b", message.Urgent, &message.Beacon{Zone: "z", Sequence: 1}))
		must.NoError(t, a.Send("b", message.Urgent, &message.Beacon{Zone: "z", Sequence: 2}))
		synctest.Wait()
		dropped := a.counter(`jacinthgate_link_dropped_total{reason="queue_full"}`)
		must.Between(t, 1, dropped, messages)
		events := strings.Join(b.record(t).takeEvents(), "\n")
		must.Eq(t, messages-dropped, strings.Count(events, "fetch"))
		must.Eq(t, 1, strings.Count(events, fmt.Sprint("kind ", message.KindBeacon)))
		must.Eq(t, 0, strings.Count(events, "down"))
	})
}

func TestFlushWaitsForTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, _, b := pair(t)
		c := start(t, net.Transport("c", "c:1"), "c", func(cfg *Config) {
			cfg.Budget.BytesPerSecond, cfg.Budget.Burst = 1, 100
		}).record(t)
		c.Connect("b", "b:1")
		must.Len(t, 1, c.takeEvents())
		must.NoError(t, c.Flush(t.Context()))
		for range 3 {
			must.NoError(t, c.Send("b", message.Normal, &message.Delta{Body: make([]byte, 80)}))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.ErrorIs(t, c.Flush(ctx), context.DeadlineExceeded)
		must.NoError(t, c.Flush(t.Context()))
		must.Len(t, 4, b.takeEvents())
		must.NoError(t, c.Send("b", message.Normal, &message.Delta{Body: make([]byte, 80)}))
		time.AfterFunc(time.Second, func() { c.Disconnect("b") })
		must.NoError(t, c.Flush(t.Context()))
		must.Eq(t, []string{"down c"}, b.takeEvents())
	})
}

func TestPeerThatAcceptsNothingIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := memory.NewNetwork()
		a := start(t, net.Transport("a", "a:1"), "a", nil).record(t)
		start(t, net.Transport("b", "b:1"), "b", func(cfg *Config) { cfg.EventQueue = 0 })
		a.Connect("b", "b:1")
		synctest.Wait()
		for i := range 200 {
			must.NoError(t, a.Send("b", message.Normal, fetch(uint64(i))))
		}
		must.Eq(t, []string{"welcomed b 7"}, a.takeEvents())
		time.Sleep(defaultSendTimeout)
		must.Eq(t, []string{"down b"}, a.takeEvents())
		must.Greater(t, 0, a.counter(`jacinthgate_link_dropped_total{reason="disconnected"}`))
	})
}
