// Package backend is a stand-in for a backend server: it has slots and a limit
// on connections, runs requests for a configurable time, drains, starts cold,
// sheds load, honours cancellation and deadlines, and counts what it ran. Its
// health and load endpoints can be made to lag or mislead.
//
// It is for tests and trials only.
package backend

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// HeaderRequestID names a request in the counts of GET /runs.
const HeaderRequestID = "X-Request-Id"

// Config configures a Server.
type Config struct {
	// Name is sent with each answer.
	Name string
	// Slots is the number of requests that run at one time; more are shed.
	Slots int
	// Faults are the initial faults.
	Faults Faults
	// Now is the clock.
	Now func() time.Time
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	cfg      Config
	mux      *http.ServeMux
	used     atomic.Int64
	draining atomic.Bool
	faults   atomic.Pointer[Faults]
	started  time.Time

	mu     sync.Mutex
	counts Counts
	past   []loadSample
}

// Counts is what GET /runs returns.
type Counts struct {
	// Total is the number of requests that were run, cancelled ones included.
	Total int `json:"total"`
	// Cancelled is the number of runs that ended by cancellation or deadline.
	Cancelled int `json:"cancelled"`
	// Shed is the number of requests refused without being run.
	Shed int `json:"shed"`
	// ByKey counts the runs for each Idempotency-Key.
	ByKey map[string]int `json:"byKey"`
	// ByID counts the runs for each X-Request-Id.
	ByID map[string]int `json:"byId"`
}

// New returns a server.
func New(cfg Config) *Server {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Server{
		cfg:     cfg,
		mux:     http.NewServeMux(),
		started: cfg.Now(),
		counts:  Counts{ByKey: make(map[string]int), ByID: make(map[string]int)},
	}
	f := cfg.Faults
	s.faults.Store(&f)
	s.mux.HandleFunc("GET /runs", s.handleRuns)
	s.mux.HandleFunc("POST /faults", s.handleFaults)
	s.mux.HandleFunc("GET /healthz", s.handleHealth)
	s.mux.HandleFunc("GET /load", s.handleLoad)
	s.mux.HandleFunc("/", s.handleWork)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Counts returns a copy of the counts.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.ByKey = make(map[string]int, len(s.counts.ByKey))
	for k, v := range s.counts.ByKey {
		c.ByKey[k] = v
	}
	c.ByID = make(map[string]int, len(s.counts.ByID))
	for k, v := range s.counts.ByID {
		c.ByID[k] = v
	}
	return c
}

// SetDraining makes the server shed all new requests, or ends that.
func (s *Server) SetDraining(on bool) { s.draining.Store(on) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) { s.faults.Store(&f) }

// InFlight returns the number of requests that run.
func (s *Server) InFlight() int { return int(s.used.Load()) }

func (s *Server) handleWork(w http.ResponseWriter, r *http.Request) {
	f := s.faults.Load()
	if !s.take(f) {
		s.shed(w)
		return
	}
	defer s.used.Add(-1)
	s.count(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.countCancelled()
		panic(http.ErrAbortHandler)
	}
	if !s.work(r, f) {
		s.countCancelled()
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r, f, body)
}

// take takes a slot; while the server is cold it has fewer of them.
func (s *Server) take(f *Faults) bool {
	if s.draining.Load() || f.ShedAll {
		return false
	}
	if s.used.Add(1) > int64(s.slots(f)) {
		s.used.Add(-1)
		return false
	}
	return true
}

func (s *Server) slots(f *Faults) int {
	warm := s.cfg.Now().Sub(s.started)
	cold := time.Duration(f.ColdStartMillis) * time.Millisecond
	if warm >= cold {
		return s.cfg.Slots
	}
	return max(1, int(float64(s.cfg.Slots)*float64(warm)/float64(cold)))
}

func (s *Server) shed(w http.ResponseWriter) {
	s.mu.Lock()
	s.counts.Shed++
	s.mu.Unlock()
	w.Header().Set("X-Shed", "not-run")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) count(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Total++
	if k := r.Header.Get(outcome.HeaderIdempotencyKey); k != "" {
		s.counts.ByKey[k]++
	}
	if id := r.Header.Get(HeaderRequestID); id != "" {
		s.counts.ByID[id]++
	}
}

func (s *Server) countCancelled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Cancelled++
}

// work takes the path's service time. It returns false when the request was
// cancelled or its deadline passed.
func (s *Server) work(r *http.Request, f *Faults) bool {
	d := f.serviceTime(r.URL.Path)
	deadline, inTime := s.deadline(r, d)
	if d <= 0 {
		return r.Context().Err() == nil
	}
	t := time.NewTimer(min(d, deadline))
	defer t.Stop()
	select {
	case <-t.C:
		return inTime
	case <-r.Context().Done():
		return false
	}
}

// deadline returns the request's remaining time and whether d fits into it.
func (s *Server) deadline(r *http.Request, d time.Duration) (time.Duration, bool) {
	ms, err := strconv.ParseInt(r.Header.Get(outcome.HeaderDeadline), 10, 32)
	if err != nil {
		return d, true
	}
	remaining := time.Duration(ms) * time.Millisecond
	return remaining, d <= remaining
}

// Answer is the JSON body of an answer.
type Answer struct {
	// Server is the server's name.
	Server string `json:"server"`
	// Path is the request's path.
	Path string `json:"path"`
	// ID is the request's X-Request-Id.
	ID string `json:"id"`
	// BodyHash is the request body's SHA-256 in hexadecimal.
	BodyHash string `json:"bodyHash"`
	// Echo is the request's body.
	Echo string `json:"echo"`
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, f *Faults, body []byte) {
	sum := sha256.Sum256(body)
	b, err := json.Marshal(Answer{
		Server:   s.cfg.Name,
		Path:     r.URL.Path,
		ID:       r.Header.Get(HeaderRequestID),
		BodyHash: hex.EncodeToString(sum[:]),
		Echo:     string(body),
	})
	if err != nil {
		panic(err) // a struct of strings always encodes
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(http.StatusOK)
	if f.TruncateAnswers {
		_, _ = w.Write(b[:len(b)/2])
		_ = http.NewResponseController(w).Flush() // or nothing would be sent
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(b) // the caller may be gone
}
