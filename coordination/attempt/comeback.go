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
// likely to take the request now as later, and only an early answer is in time.
// With servers that refuse 0.55 of all, 0.837 of the answers are in time so, and
// 0.533 where callers come back by the time that they have left
// (TestCallersComeBackInTimeWhereServersHaveRoom).
const (
	soonLeast  = 0.05
	soonSpread = 0.15
)

// Refused is what is known of a request that is refused.
type Refused struct {
	// Left is the time that the caller still waits.
	Left time.Duration
	// Due is the time until the answer is due; 0 where it is late already.
	Due time.Duration
	// Room says that the backend server that refused last has free slots: it is
	// not load that keeps the request from being served.
	Room bool
	// Lot is a random number below 1.
	Lot float64
}

// ComeBack returns when the caller of a refused request should come back.
func ComeBack(r Refused) time.Duration {
	after := float64(r.Left) * (comeBackLeast + comeBackSpread*r.Lot)
	if r.Room && r.Due > 0 {
		after = float64(r.Due) * (soonLeast + soonSpread*r.Lot)
	}
	return max(time.Duration(after), time.Millisecond)
}
