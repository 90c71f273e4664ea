package soak

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// run is one run of a request at a backend server.
type run struct {
	// whole is when its whole answer had been written; zero where it hadn't.
	whole time.Time
	// breaks says that its answer breaks off half-way.
	breaks bool
}

// runs are those of a backend server.
type runs struct {
	mu   sync.Mutex
	byID map[string][]run // in the order of their begin
}

// begin notes that a request runs, and returns what notes that its answer is whole.
func (r *runs) begin(id string, breaks bool) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = make(map[string][]run)
	}
	i := len(r.byID[id])
	r.byID[id] = append(r.byID[id], run{breaks: breaks})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.byID[id][i].whole = time.Now()
	}
}

// of returns the runs of a request.
func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.byID[id])
}

// workOf returns how long a request for a path takes.
func (s *server) workOf(path string) time.Duration {
	b := s.behaviours.of(path, s.Work)
	return b.head + b.rest
}

// answer runs a request unless its caller leaves.
func (s *server) answer(w http.ResponseWriter, r *http.Request) {
	b := s.behaviours.of(r.URL.Path, s.Work)
	whole := s.runs.begin(r.Header.Get(platformtest.HeaderRequestID), b.breaks)
	if !pause(r.Context(), b.head) {
		return
	}
	s.WriteStatements(w.Header())
	platformtest.Stamp(w)
	body := Answer(s.ID, r.URL.RequestURI())
	b.framing.set(w.Header(), len(body))
	if err := b.write(w, r, body); err != nil {
		b.framing.breakOff(w)
	}
	whole()
}

// write writes an answer in two halves. It returns an error where that breaks off.
func (b behaviour) write(w http.ResponseWriter, r *http.Request, body string) error {
	half := len(body)
	if b.rest > 0 {
		half /= 2
	}
	if err := writeOut(w, body[:half]); err != nil || half == len(body) {
		return err
	}
	if b.breaks {
		if b.stalls {
			<-r.Context().Done()
		}
		return io.ErrUnexpectedEOF
	}
	if !pause(r.Context(), b.rest) {
		return r.Context().Err()
	}
	return writeOut(w, body[half:])
}

// writeOut writes a part of an answer and flushes it.
func writeOut(w http.ResponseWriter, part string) error {
	if _, err := io.WriteString(w, part); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// pause waits, and reports whether the context has outlived it.
func pause(ctx context.Context, d time.Duration) bool {
	wait(ctx, d)
	return ctx.Err() == nil
}

// arrivals returns what a backend server saw.
func arrivals(b *server, zone model.Zone) []Arrival {
	var out []Arrival
	began := make(map[string]int)
	for _, seen := range b.Seen() {
		a := Arrival{
			Server: b.ID, Born: b.Born, ID: seen.ID, Method: seen.Method, Path: seen.Path, Caller: seen.Caller, Refused: seen.Refused, At: seen.At, Zone: zone,
			Work: b.workOf(seen.Path), Organisation: seen.Headers.Get(platformtest.HeaderOrganisation), Credentials: seen.Headers.Get("Authorization"),
		}
		if runs := b.runs.of(seen.ID); !seen.Refused && began[seen.ID] < len(runs) {
			run := runs[began[seen.ID]]
			a.Whole, a.Breaks = run.whole, run.breaks
			began[seen.ID]++
		}
		out = append(out, a)
	}
	return out
}
