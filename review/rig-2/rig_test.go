package rig2

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// rig is one small deployment: the store, the sidecars and the servers beside them.
type rig struct {
	dir     string
	rec     *record
	store   *store
	nodes   []*node
	servers []*server
}

func newRig(recordPath string) (*rig, error) {
	dir, err := os.MkdirTemp("", "rig2")
	if err != nil {
		return nil, err
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	return &rig{dir: dir, rec: rec, store: st}, nil
}

// add adds a machine with a sidecar. n is the last number of its address.
func (g *rig) add(n int, zone, service string) (*node, error) {
	m, err := newNode(g.dir, fmt.Sprintf("sidecar-%d", n), fmt.Sprintf("127.9.2.%d", n), zone, service, g.store.addr)
	if err != nil {
		return nil, err
	}
	g.nodes = append(g.nodes, m)
	return m, nil
}

// serve starts a server beside a sidecar.
func (g *rig) serve(n *node, id string, work handler) (*server, error) {
	s, err := newServer(id, n, g.rec, work)
	if err == nil {
		g.servers = append(g.servers, s)
	}
	return s, err
}

const (
	readyTimeout = 20 * time.Second
	settleTime   = 5 * time.Second // above touchMs
)

// start starts all sidecars and waits until they are ready and in touch.
func (g *rig) start() error {
	for _, n := range g.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(readyTimeout); !g.ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("the sidecars aren't ready after %s: %s", readyTimeout, g.unready())
		}
	}
	time.Sleep(settleTime)
	g.rec.note("%d sidecars are ready", len(g.nodes))
	return nil
}

func (g *rig) ready() bool {
	for _, n := range g.nodes {
		if !n.ready() {
			return false
		}
	}
	return true
}

// unready names the first sidecar that isn't ready, with the end of its log.
func (g *rig) unready() string {
	for _, n := range g.nodes {
		if !n.ready() {
			text, _ := os.ReadFile(n.log)
			return n.name + ": " + string(text[max(0, len(text)-400):])
		}
	}
	return ""
}

// killAll kills all sidecars and returns when they have ended.
func (g *rig) killAll() {
	var wg sync.WaitGroup
	for _, n := range g.nodes {
		wg.Go(n.kill)
	}
	wg.Wait()
}

// close ends everything that the rig has started.
func (g *rig) close() {
	g.killAll()
	g.rec.close()
	_ = os.RemoveAll(g.dir)
}

// fail notes why the case couldn't run.
func (g *rig) fail(err error) int {
	g.rec.note("the case couldn't run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return couldNot
}
