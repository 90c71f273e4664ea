package standin

import (
	"context"
	"time"
)

// lateHeartbeat: two servers of kiosztas end with their machines, and their addresses go to new
// machines with servers of foglalas. Once these have registered, a heartbeat of each former server,
// which a cut has delayed, arrives.
func lateHeartbeat(s *site, trouble bool) (bool, error) {
	s.addRooms()
	first, second := s.machines[3], s.machines[4]
	usual := rates{status: 16, booking: 8, firmware: 1}
	s.configure(1, nil)
	if err := s.startAll(); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, m := range s.machines[:3] {
		s.traffic(ctx, m, usual)
	}
	time.Sleep(3 * time.Second)

	former := []*server{s.servers[3], s.servers[4]}
	var delayed [][]byte
	for _, one := range former {
		delayed = append(delayed, one.beat("ready")) // it is sent now, and held up by a cut
		one.end()
	}
	first.kill()
	second.kill()
	s.rec.say("%s and %s have ended with their servers", first.name, second.name)
	time.Sleep(3 * time.Second) // reuseAfterS is 2

	var fresh []*machine
	for i, m := range []*machine{first, second} {
		n := s.add([]string{"sidecar-angyalfold-3", "sidecar-csepel-3"}[i], m.zone, "foglalas", 0)
		n.ip = m.ip
		fresh = append(fresh, n)
		if err := n.start(false); err != nil {
			return false, err
		}
		if _, err := s.serve(n, "i-"+n.name); err != nil {
			return false, err
		}
	}
	for _, n := range fresh {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	s.rec.say("new machines with servers of foglalas have their addresses")
	time.Sleep(2 * heartbeatInterval) // their servers have registered
	for _, n := range fresh {
		s.traffic(ctx, n, usual)
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for i, one := range former {
			s.rec.say("the delayed heartbeat of %s (%s) arrives at %s", one.id, one.service, one.control)
			one.post("heartbeat", delayed[i])
		}
	}
	time.Sleep(8 * time.Second)
	stop()
	time.Sleep(time.Second)
	return s.wrongCallers(), nil
}

// wrongCallers reports whether a server has run a request whose X-Caller-Service isn't the service of
// the machine where the request began.
func (s *site) wrongCallers() bool {
	services := make(map[string]string)
	for _, m := range s.machines {
		services[m.name] = m.service
	}
	all, checked, wrong := s.clients.taken(), 0, 0
	for _, one := range s.runs.taken() {
		began, known := all[one.request]
		if !known {
			s.rec.say("%s ran %s, which no client has sent", one.instance, one.request)
			wrong++
			continue
		}
		checked++
		if want := services[began.machine]; one.caller != want {
			if wrong++; wrong > 3 {
				continue
			}
			s.rec.say("%s ran %s of a client of %s, a machine of %s, with X-Caller-Service %q", one.instance, one.request, began.machine, want, one.caller)
		}
	}
	s.rec.say("%d requests were run, %d with a wrong X-Caller-Service", checked, wrong)
	return wrong > 0
}
