package gate

// fairShares orders the waiters of organisations by start-time fair queueing: while
// requests wait, each organisation gets slots in proportion to its weight, and one that
// sends more than that waits behind its own requests and not before those of others. It
// answers the load of one organisation that floods within its quota: without it the others
// are refused as often as the one that floods.
//
// It remembers nothing between two times at which nobody waits, so that an organisation
// isn't held back for slots that nobody else wanted. It is not safe for concurrent use.
type fairShares struct {
	// now is the start tag of the last waiter that was granted a slot.
	now float64
	// finish is, by organisation, the tag at which its next request starts.
	finish map[string]float64
}

// next returns the start tag of an organisation's next request. Requests of no
// organisation start at once.
func (f *fairShares) next(organisation string) float64 {
	return max(f.now, f.finish[organisation])
}

// start is next, and counts the request.
func (f *fairShares) start(organisation string, weight float64) float64 {
	start := f.next(organisation)
	if organisation == "" || weight <= 0 {
		return start
	}
	if f.finish == nil {
		f.finish = make(map[string]float64)
	}
	f.finish[organisation] = start + 1/weight
	return start
}

// dropped takes back that a request was counted that waits no longer and got no slot:
// who is refused often would otherwise fall ever further behind.
func (f *fairShares) dropped(organisation string, weight float64) {
	if finish, counted := f.finish[organisation]; counted && weight > 0 {
		f.finish[organisation] = finish - 1/weight
	}
}

// granted notes that the waiter with a start tag has a slot.
func (f *fairShares) granted(start float64) { f.now = max(f.now, start) }

// reset forgets all: nobody waits.
func (f *fairShares) reset() {
	f.now = 0
	clear(f.finish)
}
