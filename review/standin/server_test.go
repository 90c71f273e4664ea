package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one execution of a request by a server.
type run struct {
	at         time.Time
	instance   string
	service    string
	request    string
	caller     string // X-Caller-Service
	credential string // X-Tenant
}

// runs collects the executions of all servers.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

func (r *runs) taken() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.all...)
}

// of returns the number of executions of a server.
func (r *runs) of(instance string) int {
	n := 0
	for _, one := range r.taken() {
		if one.instance == instance {
			n++
		}
	}
	return n
}

// server is a stand-in of an application server: one incarnation.
type server struct {
	id, service, zone, addr, control string
	rec                              *recorder
	runs                             *runs
	work                             time.Duration
	seq                              atomic.Uint64
	running                          atomic.Int64
	loseAfter                        atomic.Int64 // nanoseconds after which answers are lost; 0 loses none
	http                             *http.Server
	stop                             context.CancelFunc
	ctx                              context.Context
	acked                            atomic.Bool // a heartbeat was acknowledged
}

const slots = 9

// startServer opens the server's address and starts its heartbeats.
func startServer(rec *recorder, all *runs, id, service, zone, addr, control string) (*server, error) {
	s := &server{id: id, service: service, zone: zone, addr: addr, control: control, rec: rec, runs: all, work: 20 * time.Millisecond}
	s.ctx, s.stop = context.WithCancel(context.Background())
	var ln net.Listener
	var err error
	for range 50 { // the address may just have been given up by another server
		if ln, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", s.id) })
	mux.HandleFunc("/", s.serve)
	s.http = &http.Server{Handler: mux, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(ln) }()
	rec.note(id, "starts at %s as a server of %s", addr, service)
	go s.beatOn()
	return s, nil
}

// serve runs a request, unless it names another server.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		s.rec.note(s.id, "rejects %s with 421: it is for %s", id, want)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	one := run{at: time.Now(), instance: s.id, service: s.service, request: id, caller: r.Header.Get("X-Caller-Service"), credential: r.Header.Get("X-Tenant")}
	s.runs.add(one)
	s.rec.note(s.id, "runs %s, X-Caller-Service %s", id, one.caller)
	n := s.running.Add(1)
	defer s.running.Add(-1)
	if lost := time.Duration(s.loseAfter.Load()); lost > 0 {
		time.Sleep(lost)
		panic(http.ErrAbortHandler) // its connection breaks off
	}
	time.Sleep(s.work)
	w.Header().Set("X-Response-Stamp", "stamp-"+s.id)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", n, slots))
	_, _ = io.WriteString(w, "answer to "+id)
}

// beat is the body of one heartbeat.
func (s *server) beat(state string) []byte {
	b, _ := json.Marshal(map[string]any{
		"address": s.addr,
		"info":    map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": slots},
		"status":  map[string]any{"state": state, "seq": s.seq.Add(1), "coldRemainingMs": 0},
	})
	return b
}

const heartbeatInterval = 1500 * time.Millisecond

// beatOn sends heartbeats until the server ends.
func (s *server) beatOn() {
	for {
		if s.post("heartbeat", s.beat("ready")) {
			s.acked.Store(true)
		}
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// post sends what the server says of itself and reports whether it was acknowledged.
func (s *server) post(call string, body []byte) bool {
	resp, err := controlClient.Post("http://"+s.control+"/api/instances/"+s.id+"/"+call, "application/json", bytes.NewReader(body))
	if err != nil {
		s.rec.note(s.id, "sends %s: no answer", call)
		return false
	}
	defer resp.Body.Close()
	s.rec.note(s.id, "sends %s %s: %d", call, body, resp.StatusCode)
	return resp.StatusCode/100 == 2
}

var errNotAcknowledged = errors.New("a goodbye was not acknowledged")

// silence ends the heartbeats; the server goes on serving.
func (s *server) silence() { s.stop() }

// end ends the server at once, like a crash.
func (s *server) end() {
	s.stop()
	_ = s.http.Close()
	s.rec.note(s.id, "ends")
}

func itoa(n int) string { return strconv.Itoa(n) }
