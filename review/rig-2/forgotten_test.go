package rig2

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// The case "forgotten": the store is down for 4 s. A server says goodbye meanwhile, and the sidecar
// beside it acknowledges that. Then all sidecars are killed and start again, and a heartbeat that the
// server sent just before its goodbye arrives. The server serves on for some seconds.
const (
	machines     = 6
	storeDown    = 4 * time.Second
	goodbyeAfter = 500 * time.Millisecond // of the outage
	killAfter    = time.Second            // after the acknowledgement
	startAfter   = time.Second
	heartbeatLag = 4 * time.Second // how late the heartbeat arrives
	servesOn     = 14 * time.Second
	touch        = 3 * time.Second // touchMs
	drainTimeout = drainMs * time.Millisecond
	askPause     = 50 * time.Millisecond
)

// late is a request that reached the server that had left.
type late struct {
	mu    sync.Mutex
	from  time.Time // requests that are sent from then on are counted
	sent  map[string]time.Time
	count int
}

func (l *late) send(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = time.Now()
}

// arrive counts a request that reaches the server that has left.
func (l *late) arrive(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.from.IsZero() && l.sent[id].After(l.from) {
		l.count++
	}
}

// forgotten judges DRAIN.
func forgotten(g *rig) int {
	trouble := os.Getenv("TROUBLE") != "0"
	l := &late{sent: make(map[string]time.Time)}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range machines {
		n, err := g.add(i+1, zones[i%len(zones)], "web")
		if err != nil {
			return g.fail(err)
		}
		work := func(c call) bool { return c.answer("page") }
		if i == 0 {
			work = func(c call) bool {
				l.arrive(c.id)
				return c.answer("page")
			}
		}
		if _, err := g.serve(n, "i-"+strconv.Itoa(i+1), work); err != nil {
			return g.fail(err)
		}
	}
	g.store.put("op", "config", configuration(1, pages(), "web"))
	if err := g.start(); err != nil {
		return g.fail(err)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, n := range g.nodes {
		wg.Go(func() { g.ask(n, i, l, stop) })
	}
	time.Sleep(2 * time.Second)
	err := g.leave(l, trouble)
	close(stop)
	wg.Wait()
	if err != nil {
		return g.fail(err)
	}
	g.rec.note("requests at the server that had left, sent later than drainTimeoutMs after the acknowledgement, all in touch: %d", l.count)
	fmt.Printf("late %d\n", l.count)
	if l.count > 0 {
		return broken
	}
	return held
}

// ask sends requests from one machine.
func (g *rig) ask(n *node, machine int, l *late, stop chan struct{}) {
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(askPause):
		}
		id := fmt.Sprintf("m%d-%d", machine+1, number)
		l.send(id)
		g.rec.note("send %s", id)
		g.rec.note("answer %s: %v", id, get(n, "/page/x", id, pageDeadline))
	}
}

// leave lets the first server leave.
func (g *rig) leave(l *late, trouble bool) error {
	s := g.servers[0]
	if trouble {
		g.store.setDown(true)
		g.rec.note("the store is down")
	}
	outage := time.Now()
	time.Sleep(goodbyeAfter)
	heartbeat := s.heartbeatNow()
	s.silence()
	status, err := s.goodbye()
	if err != nil || status != http.StatusOK {
		return errors.Join(fmt.Errorf("the goodbye has status %d", status), err)
	}
	acknowledged := time.Now()
	g.rec.note("the goodbye of %s is acknowledged", s.id)
	if trouble {
		time.Sleep(killAfter)
		g.killAll()
		g.rec.note("all sidecars are killed")
		time.Sleep(startAfter)
		for _, n := range g.nodes {
			if err := n.startAgain(); err != nil {
				return err
			}
		}
		g.rec.note("the sidecars start again")
	}
	time.Sleep(time.Until(outage.Add(storeDown)))
	g.store.setDown(false)
	g.rec.note("the store is up")
	inTouch := time.Now().Add(touch)
	time.Sleep(time.Until(acknowledged.Add(heartbeatLag)))
	status, err = s.post("heartbeat", heartbeat)
	g.rec.note("the late heartbeat arrives: status %d, %v", status, err)
	from := acknowledged.Add(drainTimeout)
	if from.Before(inTouch) {
		from = inTouch
	}
	l.mu.Lock()
	l.from = from
	l.mu.Unlock()
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	s.crash()
	g.rec.note("%s exits", s.id)
	return nil
}
