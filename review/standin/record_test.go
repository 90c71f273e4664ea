package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, began: time.Now()}, nil
}

// note writes one line: the seconds since the start, who, and what.
func (r *recorder) note(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %-12s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *recorder) say(format string, args ...any) {
	r.note("-", format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}
