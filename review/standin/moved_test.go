package standin

import (
	"context"
	"net/http"
	"time"
)

const configBound = 2 * time.Second // configMs

// movedKey: a configuration moves a key from one tenant to another while requests with it are under
// way; the answers of their first runs are lost, and they are sent to another server.
func movedKey(s *site, trouble bool) (bool, error) {
	s.addRooms()
	s.configure(1, &table{Columns: []string{"name", "apiKeys"}, Rows: [][]any{{"alpha", []string{"key-1"}}, {"beta", []string{"key-2"}}}})
	if err := s.startAll(); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, m := range s.machines {
		go s.clients.load(ctx, m, http.MethodGet, "rooms.example", "/plan/", "key-1", 10)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, one := range s.servers {
			one.loseAfter.Store(int64(2600 * time.Millisecond))
		}
	}
	time.Sleep(300 * time.Millisecond)
	s.configure(2, &table{Columns: []string{"name", "apiKeys"}, Rows: [][]any{{"alpha", []string{"key-3"}}, {"beta", []string{"key-2", "key-1"}}}})
	moved := time.Now()
	time.Sleep(200 * time.Millisecond)
	for _, one := range s.servers {
		one.loseAfter.Store(0)
	}
	time.Sleep(5 * time.Second)
	stop()
	time.Sleep(time.Second)
	late := 0
	for _, one := range s.runs.taken() {
		if one.credential != "alpha" || one.at.Before(moved.Add(configBound)) {
			continue
		}
		if late++; late <= 3 {
			s.rec.say("%s ran %s for alpha, %.2f s after its key was given to beta", one.instance, one.request, one.at.Sub(moved).Seconds())
		}
	}
	s.rec.say("%d runs under the former tenant later than configMs", late)
	return late > 0, nil
}
