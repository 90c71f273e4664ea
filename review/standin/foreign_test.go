package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// foreignHeartbeat: another writer sends heartbeats of a service that the configuration doesn't name
// to some machines, before the first configuration is written.
func foreignHeartbeat(s *site, trouble bool) (bool, error) {
	s.addRooms()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, m := range s.machines {
		if err := m.start(true); err != nil {
			return false, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	for _, m := range s.machines {
		if _, err := s.serve(m, "i-"+m.name); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, m := range s.machines[:2] {
			go s.foreignWriter(ctx, m)
		}
	}
	time.Sleep(2 * time.Second)
	s.configure(1, nil) // before traffic starts
	for _, m := range s.machines {
		if err := m.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	s.rec.say("traffic starts")
	for _, m := range s.machines {
		s.traffic(ctx, m, rates{status: 10, booking: 5, firmware: 2})
	}
	time.Sleep(10 * time.Second)
	stop()
	time.Sleep(time.Second)
	for _, one := range s.servers[:2] {
		s.rec.say("%s, whose heartbeats went on, has run %d requests", one.id, s.runs.of(one.id))
	}
	return s.wrongCallers(), nil
}

// foreignWriter sends heartbeats of a service that isn't named in the configuration.
func (s *site) foreignWriter(ctx context.Context, m *machine) {
	id := "old-desk-" + m.name
	for seq := 1; ctx.Err() == nil; seq++ {
		body, _ := json.Marshal(map[string]any{
			"address": m.at(portApp),
			"info":    map[string]any{"service": "old-desk", "version": "v1", "zone": m.zone, "slots": slots},
			"status":  map[string]any{"state": "ready", "seq": seq, "coldRemainingMs": 0},
		})
		resp, err := controlClient.Post("http://"+m.at(portControl)+"/api/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(body))
		status := "no answer"
		if err == nil {
			_ = resp.Body.Close()
			status = fmt.Sprint(resp.StatusCode, " ", http.StatusText(resp.StatusCode))
		}
		s.rec.note("old-desk", "another writer sends a heartbeat to %s: %s: %s", m.name, body, status)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}
