package standin

import (
	"context"
	"net/http"
	"time"
)

const revokeBound = 5 * time.Second // revokeMs

// revivedKey: a configuration takes a key away. Some seconds later the store comes back from an older
// copy while all processes are killed and start again; the operator writes its configuration again
// shortly after.
func revivedKey(s *site, trouble bool) (bool, error) {
	s.revocation = map[string]any{"refuseUnproved": true, "millis": 5000}
	s.addRooms()
	s.store.era = 1
	s.configure(1, tenants("key-good", "key-taken"))
	if err := s.startAll(); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, m := range s.machines {
		go s.clients.load(ctx, m, http.MethodGet, "rooms.example", "/status/", "key-good", 10)
		go s.clients.load(ctx, m, http.MethodGet, "rooms.example", "/status/", "key-taken", 5)
	}
	time.Sleep(4 * time.Second)
	older := s.store.copyNow()
	time.Sleep(time.Second)
	s.configure(2, tenants("key-good"))
	acknowledged := time.Now()
	time.Sleep(3500 * time.Millisecond)
	if trouble {
		s.store.setDown(true)
		s.rec.say("a drill: the store is away for a moment")
	}
	for _, m := range s.machines {
		m.kill()
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		s.store.restore(older)
		s.rec.say("the store is back from a copy %.1f s old", time.Since(older.at).Seconds())
	}
	for _, m := range s.machines {
		if err := m.start(false); err != nil {
			return false, err
		}
	}
	s.rec.say("all processes were killed and have started again")
	time.Sleep(2 * time.Second)
	if trouble {
		s.configure(2, tenants("key-good")) // what the operator wrote is written again
	}
	time.Sleep(5 * time.Second)
	stop()
	time.Sleep(time.Second)
	return s.afterRevocation("key-taken", acknowledged), nil
}

// tenants is the list of a configuration's tenants: one with the given keys.
func tenants(keys ...string) *table {
	return &table{Columns: []string{"name", "apiKeys"}, Rows: [][]any{{"hotel", keys}}}
}

// copyNow returns a copy of the store.
func (s *store) copyNow() copied {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copied{at: time.Now(), rows: make(map[rowID]row), ver: s.ver}
	for id, r := range s.rows {
		c.rows[id] = r
	}
	return c
}

// restore brings the store back from a copy: versions go back, and the era rises.
func (s *store) restore(c copied) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.ver, s.log = c.rows, c.ver, nil
	s.era++
	s.down = false
	s.wake()
}

// afterRevocation reports whether a request that showed a key was sent later than revokeMs after the
// configuration without it was acknowledged, and was run.
func (s *site) afterRevocation(key string, acknowledged time.Time) bool {
	all, ran := s.clients.taken(), 0
	for _, one := range s.runs.taken() {
		began := all[one.request]
		if began.key != key || began.at.Before(acknowledged.Add(revokeBound)) {
			continue
		}
		if ran++; ran <= 3 {
			s.rec.say("%s ran %s, sent %.2f s after the acknowledgement with a key that it took away", one.instance, one.request, began.at.Sub(acknowledged).Seconds())
		}
	}
	s.rec.say("%d requests with that key were sent later than revokeMs and run", ran)
	return ran > 0
}
