package attempt

import "time"

// Gain says what a repeat is worth to its caller.
type Gain uint8

// The gains.
const (
	// GainWhole is that of a request that stands for itself, or of the only call of a
	// run that fails: with it, all is answered.
	GainWhole Gain = iota
	// GainPart is that of a request which gains nothing unless others that have failed
	// too are answered as well.
	GainPart
)

// String returns the gain's name.
func (g Gain) String() string {
	if g == GainPart {
		return "part"
	}
	return "whole"
}

// SettleTime is how long a refused request waits for what becomes of those that were sent
// together with it, where there are any: a refusal is there in a few milliseconds.
const SettleTime = 4 * time.Millisecond

// partOfBound is how much of the bound repeats may use that gain something only together
// with others: the rest is left to those that gain something alone.
const partOfBound = 0.75

// part returns how much of the bound repeats with the gain may use. Where a service has no
// more than what it would share with others, all repeats may use that.
func (b *Budget) part(g Gain) float64 {
	if g == GainPart && b.ordersByGain() {
		return partOfBound
	}
	return 1
}

// OrdersByGain reports whether the gain of a repeat decides anything.
func (b *Budget) OrdersByGain() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ordersByGain()
}

// ordersByGain is OrdersByGain with b.mu held.
func (b *Budget) ordersByGain() bool { return b.cfg.Alone > b.cfg.Safety }

// GainOf returns the gain of a repeat where so many of the requests that expire together
// with it have failed.
func GainOf(failing int) Gain {
	if failing > 0 {
		return GainPart
	}
	return GainWhole
}
