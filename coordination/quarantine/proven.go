package quarantine

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/suspect"
)

const (
	// provenWindow is how long a success shows that a request doesn't crash the instance
	// that ran it. It is long enough for the requests that are in flight at an instance most
	// of the time, and too short for those that reach it now and then.
	provenWindow = 2 * time.Second
	// maxProven bounds the requests that are kept for one window. Of a busier instance the
	// successes of a shorter time are kept.
	maxProven = 512
)

// proven holds the requests that have succeeded lately, in two generations.
type proven struct {
	current, former map[suspect.Fingerprint]time.Time
	since           time.Time // time of the first success in current
}

// add records a success.
func (p *proven) add(now time.Time, f suspect.Fingerprint) {
	if p.current == nil || len(p.current) >= maxProven || now.Sub(p.since) > provenWindow {
		p.current, p.former = make(map[suspect.Fingerprint]time.Time), p.current
		p.since = now
	}
	p.current[f] = now
}

// within reports whether a request has succeeded at most provenWindow before a time.
func (p *proven) within(at time.Time, f suspect.Fingerprint) bool {
	last, is := p.current[f]
	if !is {
		last, is = p.former[f]
	}
	return is && at.Sub(last) <= provenWindow
}
