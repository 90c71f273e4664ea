package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
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
	heldFiles    int           // the limit of each process's descriptors; 0 leaves it
	work         time.Duration // of a request; 0 is the usual one
	net          string        // the first two bytes of the machines' addresses
	firstPort    int
}

// newSite starts a store. The machines' addresses are in 127.x.0.0/16, and their ports are free.
func newSite(rec *recorder, program, dir string) (*site, error) {
	s := &site{dir: dir, program: program, rec: rec, runs: new(runs), clients: newClients(rec), revocation: map[string]any{}}
	s.net = fmt.Sprintf("127.%d", 20+os.Getpid()%200)
	s.zones = map[string]string{"angyalfold": "budapest", "csepel": "budapest", "obuda": "budapest"}
	var err error
	if s.firstPort, err = freePorts(); err != nil {
		return nil, err
	}
	s.store, err = newStore(rec, fmt.Sprintf("%s.0.1:%d", s.net, s.firstPort+int(portStore)))
	return s, err
}

var errNoPorts = errors.New("no free ports")

// freePorts returns the first of consecutive ports that nobody listens on.
func freePorts() (int, error) {
	for range 100 {
		first := 10000 + 10*rand.IntN(2000)
		free := true
		for p := first; p < first+int(ports) && free; p++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", p))
			if free = err == nil; free {
				_ = ln.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, errNoPorts
}

// addRooms adds the machines of a deployment like tabla-mesh: a machine of each service in each zone.
func (s *site) addRooms() {
	for i, zone := range []string{"angyalfold", "csepel", "obuda"} {
		s.add("sidecar-"+zone+"-1", zone, "foglalas", 11+i)
	}
	for i, zone := range []string{"angyalfold", "csepel", "obuda"} {
		s.add("sidecar-"+zone+"-2", zone, "kiosztas", 14+i)
	}
}

// rates are the requests that the clients of one machine send, per second.
type rates struct{ status, booking, firmware float64 }

// traffic sends a machine's requests until ctx ends.
func (s *site) traffic(ctx context.Context, m *machine, r rates) {
	go s.clients.load(ctx, m, http.MethodGet, "rooms.example", "/status/", "", r.status)
	go s.clients.load(ctx, m, http.MethodPost, "rooms.example", "/booking/", "", r.booking)
	go s.clients.load(ctx, m, http.MethodGet, "layouts.example", "/firmware/", "", r.firmware)
}

// add adds a machine; n is the last byte of its address.
func (s *site) add(name, zone, service string, n int) *machine {
	m := &machine{name: name, zone: zone, service: service, ip: fmt.Sprintf("%s.1.%d", s.net, n), site: s, maxFiles: s.heldFiles}
	s.machines = append(s.machines, m)
	return m
}

// serve starts a server beside a machine.
func (s *site) serve(m *machine, id string) (*server, error) {
	one, err := startServer(s.rec, s.runs, id, m.service, m.zone, m.at(portApp), m.at(portControl))
	if err == nil {
		if s.work > 0 {
			one.work = s.work
		}
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

// configure writes the operator's configuration of a site like tabla-mesh.
func (s *site) configure(version int, tenants *table) {
	c := map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes": table{
			Columns: []string{"name", "hostname", "prefix", "service", "routeType", "timeoutMs", "targetLatencyMs", "attempts", "priority"},
			Rows: [][]any{
				{"room-status", "rooms.example", "/status/", "foglalas", "idempotent", 2000, 600, 2, 2},
				{"plan-read", "rooms.example", "/plan/", "foglalas", "idempotent", 4000, 600, 2, 2},
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

// configureShop writes the operator's configuration of a shop like kalo-kit.
func (s *site) configureShop() {
	b, err := json.Marshal(map[string]any{
		"version": "r1",
		"routes": table{
			Columns: []string{"name", "hostname", "prefix", "service", "routeType", "timeoutMs", "targetLatencyMs", "attempts", "priority"},
			Rows: [][]any{
				{"catalogue-read", "shop.example", "/catalogue/", "order-desk", "idempotent", 1000, 300, 2, 2},
				{"order-place", "shop.example", "/order/", "order-desk", "non_idempotent", 1000, 400, 2, 1},
				{"proof-download", "press.example", "/proof/", "artwork-store", "download", 1000, 300, 2, 2},
			},
		},
		"services": table{
			Columns: []string{"name", "healthPath", "maxConnections"},
			Rows:    [][]any{{"order-desk", "/health", 130}, {"artwork-store", "/health", 130}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 26, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	s.store.put("op", "config", b)
	s.rec.say("the operator writes configuration r1, acknowledged")
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
