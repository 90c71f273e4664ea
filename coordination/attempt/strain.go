package attempt

import (
	"math"
	"time"
)

// Strain is the part of the bound on repeats at a service called that is taken on one
// host, by the calls of repeated runs and by the repeats of calls. The hosts of a service
// tell it to the nodes that send to them: those repeat no more than the services called
// can bear.
type Strain float64

const (
	// strainHigh is the strain from which a service gets no more than the safe part of
	// its bound.
	strainHigh = 0.7
	// strainWindows is for how many windows after that it gets no more: a pause would
	// else end in a burst.
	strainWindows = 1
	// strainFull is the strain from which its requests aren't repeated: the bound of the
	// service called is used up.
	strainFull = 0.85
	// strainChance is the part of the bound below which such calls are no strain: a few
	// requests are taken for them by chance.
	strainChance = 0.2
	// strainGain is the weight of the newest answer in what is known of a service: a
	// host's count is a few calls, so that several are averaged.
	strainGain = 0.1
)

// Percent returns the strain in whole percent, rounded up.
func (s Strain) Percent() int { return int(math.Ceil(100 * float64(s))) }

// StrainOf returns the strain of so many percent.
func StrainOf(percent int) Strain { return Strain(float64(percent) / 100) }

// Strain returns the largest strain on the services that repeated runs on this host call.
func (b *Budget) Strain(now time.Time) Strain {
	b.mu.Lock()
	defer b.mu.Unlock()
	most := 0.0
	for name := range b.services {
		w := b.at(now, name)
		called, whole := sum(w.called), b.whole(w)
		if called >= strainChance*whole {
			most = max(most, (called+sum(w.repeats))/whole)
		}
	}
	return Strain(most)
}

// Told takes the strain that a host of a service tells with an answer.
func (b *Budget) Told(now time.Time, service string, s Strain) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(now, service)
	w.strain += strainGain * (float64(s) - w.strain)
	if w.strain >= strainHigh {
		w.strained = now
	}
}
