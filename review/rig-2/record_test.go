package rig2

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line each, with the seconds since the
// start of the case.
type record struct {
	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	t0   time.Time
	ran  map[string]int // by request: how many servers began to work on it
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), t0: time.Now(), ran: make(map[string]int)}, nil
}

// note writes one line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%.3f ", time.Since(r.t0).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// run notes that a server begins to work on a request.
func (r *record) run(request, server string) {
	r.note("run %s at %s", request, server)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[request]++
}

// runs returns on how many servers a request has run.
func (r *record) runs(request string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[request]
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
}
