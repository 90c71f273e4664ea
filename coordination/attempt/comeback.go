package attempt

import "time"

// Bounds of the time after which a refused caller comes back, as parts of the time
// that it has left. Callers keep to a third of it at most; the spread keeps those
// refused together from coming back together.
const (
	comeBackLeast  = 0.08
	comeBackSpread = 0.22
)

// Bounds of that time where backend servers refuse although they have free slots,
// as parts of the time until the answer is due: the next one that is asked is as
// likely to take the request now as later, and only an early answer is in time
// (TestCallersComeBackInTimeWhereServersHaveRoom).
const (
	soonLeast  = 0.05
	soonSpread = 0.15
)

// Bounds of that time where the service's backend servers have had no room for seconds, as
// parts of the time that the caller has left: it comes back as late as it would. One that
// comes back while there still is no room takes the place of another that would be served
// in time, and is itself served late.
const (
	crowdedLeast  = 0.25
	crowdedSpread = 0.08
)

// crowded is the load from which a service's backend servers have had no room for seconds:
// a moment's line raises an average over seconds less.
const crowded = 1.15

// Refused is what is known of a request that is refused.
type Refused struct {
	// Left is the time that the caller still waits.
	Left time.Duration
	// Due is the time until the answer is due; 0 where it is late already.
	Due time.Duration
	// Room says that the backend server that refused last has free slots: it is
	// not load that keeps the request from being served.
	Room bool
	// Load is what the service's backend servers run and what waits in front of them,
	// over the last seconds, as a part of their slots; 0 where it isn't known.
	Load float64
	// Lot is a random number below 1.
	Lot float64
}

// ComeBack returns when the caller of a refused request should come back.
func ComeBack(r Refused) time.Duration {
	after := float64(r.Left) * (comeBackLeast + comeBackSpread*r.Lot)
	switch {
	case r.Room && r.Due > 0:
		after = float64(r.Due) * (soonLeast + soonSpread*r.Lot)
	case r.Load > crowded:
		after = float64(r.Left) * (crowdedLeast + crowdedSpread*r.Lot)
	}
	return max(time.Duration(after), time.Millisecond)
}

// proofLeast and proofSpread bound after how long the caller of a node comes back whose
// configuration isn't proved to be current. Proofs come about once a second where the way
// to the platform or to other nodes is open.
const (
	proofLeast  = 200 * time.Millisecond
	proofSpread = 400 * time.Millisecond
)

// ComeBackToProof returns when the caller of such a node should come back. lot is a random
// number below 1.
func ComeBackToProof(lot float64) time.Duration {
	return proofLeast + time.Duration(lot*float64(proofSpread))
}

// Callers of a faulty route retry after a time in which operators may have corrected the
// configuration.
const (
	faultLeast  = time.Second
	faultSpread = time.Second
)

// ComeBackToFault returns when the caller of a faulty route should come back. lot is a random
// number below 1.
func ComeBackToFault(lot float64) time.Duration {
	return faultLeast + time.Duration(lot*float64(faultSpread))
}

// startLeast is the least time after which a caller comes back to a node that has
// just started: about as long as one takes to get the configuration and to know
// backend servers. Much longer makes late what could be in time.
const startLeast = 200 * time.Millisecond

// StartTime is how long after its start a node may still be getting to know the
// backend servers.
const StartTime = 2 * time.Second

// ComeBackToStart returns when the caller of a node that has been up for so long,
// and doesn't know yet where to send the request, should come back: after as long
// again, so that a start that takes longer isn't met with ever more attempts, and
// after StartTime at the latest, spread by a quarter.
func ComeBackToStart(up time.Duration, lot float64) time.Duration {
	wait := min(max(up, startLeast), StartTime)
	return time.Duration(float64(wait) * (0.75 + lot/2))
}

// ComeBackAfterEnd returns when the caller of a node that ends so long from now should come
// back: once the next process is there, spread over StartTime.
func ComeBackAfterEnd(left time.Duration, lot float64) time.Duration {
	return max(0, left) + time.Duration(lot*float64(StartTime))
}
