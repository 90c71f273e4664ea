package attempt

import "time"

// Bounds of the default Retry-After delay, as fractions of the time that the caller still
// waits. Callers delay a retry by at most a third of that time. The random spread keeps
// callers that are refused at the same time from retrying at the same time.
const (
	defaultAfterMin    = 0.08
	defaultAfterSpread = 0.22
)

// Bounds of the Retry-After delay if backend servers refuse requests although they have
// free slots, as fractions of the time until the answer is due. The next backend server is
// as likely to accept the request now as later, and only an early answer is in time
// (TestRetryAfterIsShortWhenServersHaveFreeSlots).
const (
	freeSlotsAfterMin    = 0.05
	freeSlotsAfterSpread = 0.15
)

// Bounds of the Retry-After delay if the service's backend servers have been overloaded
// for seconds, as fractions of the time that the caller still waits. They make the caller
// retry as late as callers ever do. A caller that retries while there still is no
// free slot takes the place of another that would be served in time, and is itself served
// late.
const (
	overloadAfterMin    = 0.25
	overloadAfterSpread = 0.08
)

// sustainedOverload is the load above which a service's backend servers have been
// overloaded for seconds. A momentary queue raises an average over seconds by less.
const sustainedOverload = 1.15

// Refused describes a refused request, as input for RetryAfter.
type Refused struct {
	// Left is the time for which the caller still waits.
	Left time.Duration
	// Due is the time until the answer is due; 0 or less if it is late already.
	Due time.Duration
	// FreeSlots says that the backend server that refused last has free slots: the request
	// is not refused because of load.
	FreeSlots bool
	// LimitWait is the time until one of the backend servers that refused for the rate limits
	// that they state expects to accept another request; 0 if none did.
	LimitWait time.Duration
	// Load is the number of requests that the service's backend servers run and queue,
	// averaged over the last seconds, as a fraction of their slots; 0 if it isn't known.
	Load float64
	// Jitter is a random number in [0, 1) that spreads the delay.
	Jitter float64
}

// RetryAfter returns the Retry-After delay for a refused request.
func RetryAfter(r Refused) time.Duration {
	after := float64(r.Left) * (defaultAfterMin + defaultAfterSpread*r.Jitter)
	switch {
	case r.LimitWait > 0:
		// Callers that all return as soon as a limit allows one more request are refused again.
		after = float64(r.LimitWait) + float64(r.Left)*defaultAfterSpread*r.Jitter
	case r.FreeSlots && r.Due > 0:
		after = float64(r.Due) * (freeSlotsAfterMin + freeSlotsAfterSpread*r.Jitter)
	case r.Load > sustainedOverload:
		after = float64(r.Left) * (overloadAfterMin + overloadAfterSpread*r.Jitter)
	}
	return max(time.Duration(after), time.Millisecond)
}

// Bounds of the Retry-After delay of a node whose configuration isn't proved to be
// current. Proofs arrive about once a second while the node can reach the platform or
// other nodes.
const (
	unprovedAfterMin    = 200 * time.Millisecond
	unprovedAfterSpread = 400 * time.Millisecond
)

// RetryAfterUnproved returns the Retry-After delay of a node whose configuration isn't
// proved to be current. jitter is a random number in [0, 1) that spreads the delay.
func RetryAfterUnproved(jitter float64) time.Duration {
	return unprovedAfterMin + time.Duration(jitter*float64(unprovedAfterSpread))
}

// Bounds of the Retry-After delay of a faulty route: operators may have corrected the
// configuration by then.
const (
	routeFaultAfterMin    = time.Second
	routeFaultAfterSpread = time.Second
)

// RetryAfterRouteFault returns the Retry-After delay of a faulty route. jitter is a random
// number in [0, 1) that spreads the delay.
func RetryAfterRouteFault(jitter float64) time.Duration {
	return routeFaultAfterMin + time.Duration(jitter*float64(routeFaultAfterSpread))
}

// startAfterMin is the shortest Retry-After delay, before the spread, of a node that has
// just started: about as long as a node takes to fetch the configuration and to discover
// the backend servers. A much longer one would delay answers that could be in time.
const startAfterMin = 200 * time.Millisecond

// StartTime is how long after its start a node may still be discovering the backend
// servers.
const StartTime = 2 * time.Second

// RetryAfterStart returns the Retry-After delay of a node that has not discovered a backend
// server for the request yet. The delay is as long as the node has been up, so that callers
// back off exponentially during a slow start, but at most StartTime. jitter, a random number
// in [0, 1), spreads it by a quarter in both directions.
func RetryAfterStart(up time.Duration, jitter float64) time.Duration {
	wait := min(max(up, startAfterMin), StartTime)
	return time.Duration(float64(wait) * (0.75 + jitter/2))
}

// RetryAfterShutdown returns the Retry-After delay of a node that shuts down after the time
// left: the next process is running by then. jitter, a random number in [0, 1), spreads the
// delay over a further StartTime.
func RetryAfterShutdown(left time.Duration, jitter float64) time.Duration {
	return max(0, left) + time.Duration(jitter*float64(StartTime))
}
