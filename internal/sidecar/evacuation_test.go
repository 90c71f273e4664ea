package sidecar

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// An evacuated zone may be powered off: no requests may be sent there, neither by nodes that
// start meanwhile nor by those in the zone itself, which still have callers.
func TestEvacuatedZoneGetsNoRequestsUntilItsEvacuationEnds(t *testing.T) {
	f := newAdaptedFleet(t, 4, func(s *Settings) { s.EvacuateMillis = 800 })
	f.store.Put("op", "evacuate/z1", []byte("{}"))
	f.waitForServers(2)
	time.Sleep(f.nodes[0].node.set.evacuate() / drainPart)
	before := f.requestsInZone(1)
	for i := range 40 {
		resp, _ := f.do(f.nodes[i%4], "GET", "/status/x", "")
		must.Eq(t, http.StatusOK, resp.StatusCode)
	}
	f.nodes = append(f.nodes, f.start(4, f.storeAddr))
	f.beat()
	f.waitForServers(3)
	must.Eq(t, before, f.requestsInZone(1))

	f.store.Remove("op", "evacuate/z1")
	f.waitForServers(5)
	resp, _ := f.do(f.nodes[1], "GET", "/status/x", "")
	must.Eq(t, http.StatusOK, resp.StatusCode)
}

// The removal of the order may have been compacted away before a node could read it.
func TestEvacuationEndsAfterCompaction(t *testing.T) {
	f := newFleet(t, 4)
	f.store.Put("op", "evacuate/z1", []byte("{}"))
	f.waitForServers(2)
	f.store.SetDown(true)
	f.store.Remove("op", "evacuate/z1")
	f.store.Compact()
	f.store.SetDown(false)
	f.waitForServers(4)
}

// The gate refuses requests of a node that doesn't know of the evacuation yet, and they are
// served elsewhere.
func TestGateInAnEvacuatedZoneRefuses(t *testing.T) {
	f := newAdaptedFleet(t, 2, func(s *Settings) { s.EvacuateMillis = 100 })
	f.store.Put("op", "evacuate/z0", []byte("{}"))
	f.waitForServers(1)
	time.Sleep(50 * time.Millisecond)
	view := f.nodes[0].node.loop.member.Table().View()
	f.nodes[1].node.pub.view.Store(view) // a stale view
	before := f.requestsInZone(0)
	for range 10 {
		resp, _ := f.do(f.nodes[1], "POST", "/book/x", "a room")
		must.Eq(t, http.StatusOK, resp.StatusCode)
	}
	must.Eq(t, before, f.requestsInZone(0))
}
