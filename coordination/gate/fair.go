package gate

// fairShares orders the waiters of organisations by start-time fair queueing: while
// requests are queued, each organisation gets slots in proportion to its weight, and the
// excess requests of an organisation wait behind its own and not ahead of those of others.
// It guards against an organisation that floods within its quota: without fair queueing,
// the requests of others are refused as often as those of the flooding organisation.
//
// Its state is cleared whenever the queue becomes empty, so that an organisation isn't
// penalised for slots that no other organisation wanted. It is not safe for concurrent use.
type fairShares struct {
	// virtualTime is the highest start tag of a waiter that was granted a slot.
	virtualTime float64
	// finish is, by organisation, the finish tag of its last request, at which its next
	// one starts.
	finish map[string]float64
}

// startTag returns the start tag of an organisation's next request. It is the virtual time
// for requests without an organisation.
func (f *fairShares) startTag(organisation string) float64 {
	return max(f.virtualTime, f.finish[organisation])
}

// charge returns the start tag of an organisation's next request, and charges the request to
// the organisation.
func (f *fairShares) charge(organisation string, weight float64) float64 {
	start := f.startTag(organisation)
	if organisation == "" || weight <= 0 {
		return start
	}
	if f.finish == nil {
		f.finish = make(map[string]float64)
	}
	f.finish[organisation] = start + 1/weight
	return start
}

// refund takes back the charge for a request that left the queue without a slot: an
// organisation that is refused often would otherwise fall further and further behind.
func (f *fairShares) refund(organisation string, weight float64) {
	if finish, charged := f.finish[organisation]; charged && weight > 0 {
		f.finish[organisation] = finish - 1/weight
	}
}

// advance advances the virtual time to the start tag of a waiter that was granted a slot.
func (f *fairShares) advance(start float64) { f.virtualTime = max(f.virtualTime, start) }

// reset clears the state. It is called when the queue becomes empty.
func (f *fairShares) reset() {
	f.virtualTime = 0
	clear(f.finish)
}
