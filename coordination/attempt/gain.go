package attempt

import "time"

// Gain is what a retry is worth to the caller. Retries with more gain may use more of the
// retry budget.
type Gain uint8

// The gains.
const (
	// GainWhole means that an answer to this retry completes the work: the request is
	// independent of others, or it is the only failing call of its run.
	GainWhole Gain = iota
	// GainPart means that an answer to this retry is useless unless other requests that
	// have failed as well are answered too.
	GainPart
)

// String returns the gain's name.
func (g Gain) String() string {
	if g == GainPart {
		return "part"
	}
	return "whole"
}

// SettleTime is how long a refused request waits for the outcomes of the other requests of
// its group, if it has any, before its gain is determined. A refusal arrives within a few
// milliseconds.
const SettleTime = 4 * time.Millisecond

// partGainShare is the fraction of the usable budget that is open to retries with
// GainPart. The rest is reserved for those with GainWhole.
const partGainShare = 0.75

// gainShare returns the fraction of the usable budget that retries with the gain may use.
// All retries may use the whole of it if Alone allows no more than Safety.
func (b *Budget) gainShare(g Gain) float64 {
	if g == GainPart && b.ordersByGain() {
		return partGainShare
	}
	return 1
}

// OrdersByGain reports whether the budget prefers retries with more gain. If not, the gain
// needn't be determined.
func (b *Budget) OrdersByGain() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ordersByGain()
}

// ordersByGain is OrdersByGain with b.mu held.
func (b *Budget) ordersByGain() bool { return b.cfg.Alone > b.cfg.Safety }

// GainOf returns the gain of a retry of a request. failing is the number of other requests
// in its group that have failed.
func GainOf(failing int) Gain {
	if failing > 0 {
		return GainPart
	}
	return GainWhole
}
