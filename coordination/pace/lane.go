// Package pace shares a host's link between large answers and everything else.
// A link that is full delays every small answer behind the large ones, so large
// answers are sent at a part of the link's rate, and no more of them are
// admitted than can be sent in time.
package pace

import (
	"sync"
	"time"
)

// Config configures a Lane.
type Config struct {
	// BytesPerSecond is the rate at which large answers are sent.
	BytesPerSecond float64
	// FirstSize stands for the size of an answer, in bytes, before one was
	// seen.
	FirstSize float64
	// SizeGain is the weight of a new size in the mean, 0 to 1.
	SizeGain float64
}

// Share is the part of a link's rate that large answers may take. The rest is
// for small answers, which need far less, and for the headers of packets.
const Share = 0.85

// DefaultConfig returns the parameters for a link of the given rate in bits per
// second.
func DefaultConfig(bitsPerSecond float64) Config {
	return Config{BytesPerSecond: Share * bitsPerSecond / 8, FirstSize: 128 << 10, SizeGain: 0.2}
}

// Lane admits and paces large answers. It is safe for concurrent use.
type Lane struct {
	cfg Config

	mu sync.Mutex
	// size is the mean size of an answer, in bytes.
	size float64
	// clear is when all that was admitted will have been sent.
	clear time.Time
	// next is when the next piece may be sent.
	next time.Time
}

// New returns a lane.
func New(cfg Config) *Lane { return &Lane{cfg: cfg, size: cfg.FirstSize} }

// Ticket is the room of one admitted answer.
type Ticket struct {
	lane  *Lane
	bytes float64
}

// Admit reserves room for an answer of the mean size, unless what was admitted
// before would hold it up for longer than wait.
func (l *Lane) Admit(now time.Time, wait time.Duration) (*Ticket, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clear.Sub(now) > wait {
		return nil, false
	}
	t := &Ticket{lane: l, bytes: l.size}
	if l.clear.Before(now) {
		l.clear = now
	}
	l.clear = l.clear.Add(l.span(t.bytes))
	return t, true
}

// Size corrects the room once the answer's size is known, in bytes; 0 gives it
// back.
func (t *Ticket) Size(bytes float64) {
	l := t.lane
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clear = l.clear.Add(l.span(bytes - t.bytes))
	t.bytes = bytes
	if bytes > 0 {
		l.size += l.cfg.SizeGain * (bytes - l.size)
	}
}

// Piece returns how long to wait before a piece of the given size is sent.
func (l *Lane) Piece(now time.Time, bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next.Before(now) {
		l.next = now
	}
	wait := l.next.Sub(now)
	l.next = l.next.Add(l.span(float64(bytes)))
	return wait
}

// span is the time that so many bytes take.
func (l *Lane) span(bytes float64) time.Duration {
	return time.Duration(bytes / l.cfg.BytesPerSecond * float64(time.Second))
}
