package standin

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// site is a small deployment on loopback addresses.
type site struct {
	dir, program string
	rec          *recorder
	store        *store
	zones        map[string]string
	machines     []*machine
	servers      []*server
	runs         *runs
	clients      *clients
	revocation   map[string]any
	net          string // the first two bytes of the machines' addresses
}

// newSite starts a store. The machines' addresses are 127.x.0.0/16 of this process's own.
func newSite(rec *recorder, program, dir string) (*site, error) {
	s := &site{dir: dir, program: program, rec: rec, runs: new(runs), clients: newClients(rec), revocation: map[string]any{}}
	s.net = fmt.Sprintf("127.%d", 20+os.Getpid()%200)
	s.zones = map[string]string{"angyalfold": "budapest", "csepel": "budapest", "obuda": "budapest"}
	var err error
	s.store, err = newStore(rec, s.net+".0.1:18142")
	return s, err
}

// add adds a machine; n is the last byte of its address.
func (s *site) add(name, zone, service string, n int) *machine {
	m := &machine{name: name, zone: zone, service: service, ip: fmt.Sprintf("%s.1.%d", s.net, n), site: s}
	s.machines = append(s.machines, m)
	return m
}

// serve starts a server beside a machine.
func (s *site) serve(m *machine, id string) (*server, error) {
	one, err := startServer(s.rec, s.runs, id, m.service, m.zone, m.at(portApp), m.at(portControl))
	if err == nil {
		s.servers = append(s.servers, one)
	}
	return one, err
}

// close ends all processes and servers.
func (s *site) close() {
	for _, m := range s.machines {
		m.kill()
	}
	for _, one := range s.servers {
		one.end()
	}
}

// table is a list of records in columns.
type table struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// configure writes the operator's configuration, with the two services and a route to each.
func (s *site) configure(version int, tenants *table) {
	c := map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes": table{
			Columns: []string{"name", "hostname", "prefix", "service", "routeType", "timeoutMs", "targetLatencyMs", "attempts", "priority"},
			Rows: [][]any{
				{"room-status", "rooms.example", "/status/", "foglalas", "idempotent", 2000, 600, 2, 2},
				{"booking-write", "rooms.example", "/booking/", "foglalas", "non_idempotent", 2500, 800, 2, 1},
				{"firmware-pull", "layouts.example", "/firmware/", "kiosztas", "idempotent", 2000, 600, 2, 2},
			},
		},
		"services": table{
			Columns: []string{"name", "healthPath", "maxConnections"},
			Rows:    [][]any{{"foglalas", "/health", 110}, {"kiosztas", "/health", 110}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 8000},
	}
	if tenants != nil {
		c["tenants"] = tenants
	}
	b, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	s.store.put("op", "config", b)
	s.rec.say("the operator writes configuration r%d, acknowledged", version)
}

// startAll starts all machines and their servers and waits until they are ready.
func (s *site) startAll() error {
	for _, m := range s.machines {
		if err := m.start(true); err != nil {
			return err
		}
	}
	for _, m := range s.machines {
		if _, err := s.serve(m, "i-"+m.name); err != nil {
			return err
		}
	}
	for _, m := range s.machines {
		if err := m.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	s.rec.say("all %d machines are ready", len(s.machines))
	return nil
}
