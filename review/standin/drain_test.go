package standin

import (
	"context"
	"time"
)

const (
	drainTimeout = 2 * time.Second // drainTimeoutMs
	touch        = 3 * time.Second // touchMs
)

// forgottenDrain: a server says goodbye while the store is down, and the machine beside it
// acknowledges that. The process of that machine is killed and starts again, the store returns, and a
// heartbeat that the server sent before its goodbye arrives some seconds late.
func forgottenDrain(s *site, trouble bool) (bool, error) {
	s.addRooms()
	m := s.machines[0]
	s.work = 220 * time.Millisecond
	s.configure(1, nil)
	if err := s.startAll(); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, each := range s.machines {
		s.traffic(ctx, each, rates{status: 6, booking: 3, firmware: 1})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		s.store.setDown(true)
		s.rec.say("the store is down: it answers 503")
	}
	time.Sleep(300 * time.Millisecond)

	leaving := s.servers[0]
	late := leaving.beat("ready") // it is sent now
	leaving.silence()
	if !leaving.post("deregister", []byte("{}")) {
		return false, errNotAcknowledged
	}
	acknowledged := time.Now()
	s.rec.say("%s acknowledges the goodbye of %s, which goes on serving", m.name, leaving.id)
	time.Sleep(200 * time.Millisecond)
	m.kill()
	time.Sleep(500 * time.Millisecond)
	if err := m.start(false); err != nil {
		return false, err
	}
	s.rec.say("the process of %s was killed and has started again", m.name)
	time.Sleep(2 * time.Second)
	if trouble {
		s.store.setDown(false)
		s.rec.say("the store serves again")
	}
	time.Sleep(200 * time.Millisecond)
	s.rec.say("the heartbeat that %s sent before its goodbye arrives", leaving.id)
	leaving.post("heartbeat", late)
	time.Sleep(touch)
	calm := time.Now()
	s.rec.say("all machines are in touch")
	time.Sleep(5 * time.Second)
	leaving.end()
	stop()
	time.Sleep(time.Second)
	return s.afterDrain(leaving.id, acknowledged, calm), nil
}

// afterDrain reports whether requests that clients sent after calm, when all machines were in touch,
// have reached a server later than drainTimeout after its goodbye was acknowledged.
func (s *site) afterDrain(id string, acknowledged, calm time.Time) bool {
	all, early, reached := s.clients.taken(), 0, 0
	for _, one := range s.runs.taken() {
		if one.instance != id || one.at.Before(acknowledged.Add(drainTimeout)) {
			continue
		}
		began := all[one.request]
		if began.at.Before(calm) {
			early++
			continue
		}
		if reached++; reached <= 3 {
			s.rec.say("%s ran %s %.1f s after the acknowledgement", id, one.request, one.at.Sub(acknowledged).Seconds())
		}
	}
	s.rec.say("%d requests have reached %s later than drainTimeoutMs from machines in touch, %d from others", reached, id, early)
	return reached > 0
}
