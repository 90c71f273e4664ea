package backend

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Faults are the faults and service times, as POST /faults takes them. The
// zero value is a healthy server that answers at once.
type Faults struct {
	// ServiceMillis is the mean service time in milliseconds.
	ServiceMillis float64 `json:"serviceMillis"`
	// SpreadMillis is the width of the uniform spread around the mean.
	SpreadMillis float64 `json:"spreadMillis"`
	// PathMillis overrides the mean for paths with the given prefix; the
	// longest prefix counts.
	PathMillis map[string]float64 `json:"pathMillis,omitempty"`
	// ColdStartMillis is how long after its start the server has fewer slots.
	ColdStartMillis int `json:"coldStartMillis"`
	// ShedAll makes the server shed every request.
	ShedAll bool `json:"shedAll"`
	// TruncateAnswers breaks each answer off in the middle.
	TruncateAnswers bool `json:"truncateAnswers"`
	// FalseHealth makes the health endpoint always say 200.
	FalseHealth bool `json:"falseHealth"`
	// Unhealthy makes the health endpoint say 503.
	Unhealthy bool `json:"unhealthy"`
	// FalseLoad makes the load endpoint always report an idle server.
	FalseLoad bool `json:"falseLoad"`
	// LoadLagMillis is the age of what the load endpoint reports.
	LoadLagMillis int `json:"loadLagMillis"`
}

func (f *Faults) serviceTime(path string) time.Duration {
	mean := f.ServiceMillis
	longest := 0
	for prefix, ms := range f.PathMillis {
		if strings.HasPrefix(path, prefix) && len(prefix) >= longest {
			longest, mean = len(prefix), ms
		}
	}
	ms := mean
	if f.SpreadMillis > 0 {
		ms += f.SpreadMillis * (rand.Float64() - 0.5)
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// maxFaults bounds the body of POST /faults in bytes.
const maxFaults = 64 << 10

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaults))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counts())
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	f := s.faults.Load()
	if !f.FalseHealth && (f.Unhealthy || s.draining.Load()) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Load is what GET /load returns.
type Load struct {
	// Used is the number of slots in use.
	Used int `json:"used"`
	// Slots is the number of slots.
	Slots int `json:"slots"`
}

type loadSample struct {
	at   time.Time
	used int
}

// maxSamples bounds the samples kept for a lagging load endpoint.
const maxSamples = 1024

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	f := s.faults.Load()
	used := s.sample(s.cfg.Now(), time.Duration(f.LoadLagMillis)*time.Millisecond)
	if f.FalseLoad {
		used = 0
	}
	writeJSON(w, Load{Used: used, Slots: s.cfg.Slots})
}

// sample notes the load and returns the newest one that is at least lag old.
func (s *Server) sample(now time.Time, lag time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.past = append(s.past, loadSample{at: now, used: s.InFlight()})
	if len(s.past) > maxSamples {
		s.past = s.past[len(s.past)-maxSamples:]
	}
	used := 0
	for _, p := range s.past {
		if now.Sub(p.at) >= lag {
			used = p.used
		}
	}
	return used
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the reader may be gone
}
