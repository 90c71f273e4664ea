package rig2

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The case "restarted": four of twenty-nine servers crash at the same moment while all machines ask
// for one popular page. Later all sidecars are killed and start again (a day's final fault).
const (
	fleet          = 29
	crashing       = 4 // 0.138 of the fleet
	downTime       = 3 * time.Second
	workTime       = 900 * time.Millisecond
	clientsPerNode = 4
	pauseTime      = 150 * time.Millisecond
	otherPart      = 7 // each seventh request asks for a page of its own
	pageDeadline   = 2 * time.Second
)

// attempt is one client attempt.
type attempt struct {
	at     time.Time
	served bool
}

// load is the traffic of the clients.
type load struct {
	g    *rig
	stop chan struct{}
	wg   sync.WaitGroup
	next atomic.Int64
	mu   sync.Mutex
	all  []attempt
}

func (l *load) client(n *node) {
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(pauseTime):
		}
		number := l.next.Add(1)
		id, path := "q"+strconv.FormatInt(number, 10), "/page/top"
		if number%otherPart == 0 {
			path = "/page/" + id
		}
		at := time.Now()
		r := get(n, path, id, pageDeadline)
		l.g.rec.note("answer %s %s: %v", id, path, r)
		l.mu.Lock()
		l.all = append(l.all, attempt{at: at, served: r.status == 200 && r.err == nil})
		l.mu.Unlock()
	}
}

// served returns how many attempts were made between two times, and how many of them were served.
func (l *load) served(from, to time.Time) (served, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.all {
		if a.at.Before(from) || a.at.After(to) {
			continue
		}
		sent++
		if a.served {
			served++
		}
	}
	return served, sent
}

func work(c call) bool {
	time.Sleep(workTime)
	return !c.server.ended() && c.answer("page")
}

// restarted judges RECOVER.
func restarted(g *rig) int {
	crash := os.Getenv("TROUBLE") != "0" && os.Getenv("TROUBLE") != "kill"
	kill := os.Getenv("TROUBLE") != "0"
	if err := g.wide(); err != nil {
		return g.fail(err)
	}
	l := &load{g: g, stop: make(chan struct{})}
	begin := time.Now()
	for i := range fleet * clientsPerNode {
		l.wg.Go(func() { l.client(g.nodes[i%fleet]) })
	}
	time.Sleep(8 * time.Second)
	if crash {
		if err := g.crashSome(); err != nil {
			return g.fail(err)
		}
	}
	time.Sleep(10 * time.Second)
	fault := time.Now()
	if kill {
		if err := g.finalFault(); err != nil {
			return g.fail(err)
		}
	}
	from := time.Now().Add(recoverS * time.Second)
	time.Sleep(time.Until(from) + 8*time.Second)
	to := time.Now()
	close(l.stop)
	l.wg.Wait()
	servedBefore, sentBefore := l.served(begin, fault)
	servedAfter, sentAfter := l.served(from, to)
	g.rec.note("before the final fault: %d of %d requests served", servedBefore, sentBefore)
	g.rec.note("sent later than recoverS after it: %d of %d requests served", servedAfter, sentAfter)
	fmt.Printf("served before %d of %d, after %d of %d\n", servedBefore, sentBefore, servedAfter, sentAfter)
	switch {
	case sentAfter == 0 || 4*servedBefore < sentBefore:
		return couldNot
	case 4*servedAfter < sentAfter:
		return broken
	}
	return held
}

// wide starts the machines, each with a server of one service.
func (g *rig) wide() error {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range fleet {
		n, err := g.add(i+1, zones[i%len(zones)], "web")
		if err != nil {
			return err
		}
		if _, err := g.serve(n, "i-"+strconv.Itoa(i+1), work); err != nil {
			return err
		}
	}
	g.store.put("op", "config", configuration(1, pages(), "web"))
	return g.start()
}

func pages() [][]any { return [][]any{{"page", "/page/", "idempotent", 2000, "web", 2}} }

// crashSome crashes servers at the same moment. New ones take their places.
func (g *rig) crashSome() error {
	g.rec.note("%d of %d servers crash", crashing, fleet)
	var wg sync.WaitGroup
	for _, s := range g.servers[:crashing] {
		wg.Go(s.crash)
	}
	wg.Wait()
	time.Sleep(downTime)
	for i := range crashing {
		if _, err := g.serve(g.nodes[i], "i-"+strconv.Itoa(fleet+i+1), work); err != nil {
			return err
		}
	}
	g.rec.note("servers run in their places")
	return nil
}

// finalFault kills all sidecars after a configuration was acknowledged, and starts them again.
func (g *rig) finalFault() error {
	g.store.put("op", "config", configuration(2, pages(), "web"))
	g.rec.note("version r2 is acknowledged, and all sidecars are killed")
	g.killAll()
	time.Sleep(time.Second)
	for _, n := range g.nodes {
		if err := n.startAgain(); err != nil {
			return err
		}
	}
	g.rec.note("the sidecars start again")
	return nil
}
