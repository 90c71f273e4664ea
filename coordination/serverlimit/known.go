package serverlimit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// maxKnown bounds the instances whose limits are kept. Few backend servers of a fleet state a
// limit at the same time.
const maxKnown = 1024

// Known holds the limits that an entry node has received from backend servers, for its hints.
// The zero value holds none. It is safe for concurrent use.
type Known struct {
	count atomic.Int64

	mu         sync.Mutex
	statements map[string]*statement // by instance
}

// Observe records a response of an instance.
func (k *Known) Observe(instance string, r Response, now time.Time) {
	if !r.Stated && k.count.Load() == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.statements[instance]
	if s == nil {
		if !r.Stated {
			return
		}
		s = new(statement)
		k.add(instance, s)
	}
	if s.observe(r, now); !s.limit.Stated {
		delete(k.statements, instance)
	}
	k.count.Store(int64(len(k.statements)))
}

// add adds an instance, in place of the one whose limit was confirmed the longest time ago if
// maxKnown are held. k.mu must be held.
func (k *Known) add(instance string, s *statement) {
	if k.statements == nil {
		k.statements = make(map[string]*statement)
	}
	if len(k.statements) >= maxKnown {
		oldest := ""
		for name, other := range k.statements {
			if oldest == "" || other.confirmedAt.Before(k.statements[oldest].confirmedAt) {
				oldest = name
			}
		}
		delete(k.statements, oldest)
	}
	k.statements[instance] = s
}

// Hint returns what is known of the limit of an instance; found is false if it has stated none.
func (k *Known) Hint(instance string, now time.Time) (h Hint, found bool) {
	if k.count.Load() == 0 {
		return Hint{}, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.statements[instance]
	if s == nil {
		return Hint{}, false
	}
	return Hint{PerSecond: s.limit.PerSecond, Age: min(max(0, now.Sub(s.confirmedAt)), math.MaxInt32*time.Millisecond)}, true
}
