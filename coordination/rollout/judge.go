package rollout

import (
	"math"

	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/rollout"
)

// Sample sums up the answers of backend servers for one workload.
type Sample struct {
	// Answers is the number of answers, of which Failed failed.
	Answers, Failed int
	// Times counts the durations of the answers that did not fail, by rollout.Bucket; Timed
	// is their number.
	Times [rollout.Buckets]int
	Timed int
}

// Add adds the counts of a tally.
func (s *Sample) Add(t *rollout.Tally) {
	s.Answers += int(t.Answers)
	s.Failed += int(t.Failed)
	for i, n := range t.Times {
		s.Times[i] += int(n)
		s.Timed += int(n)
	}
}

// Comparison holds the samples of both versions for one workload.
type Comparison struct {
	Work model.Work
	// Target holds the new version's samples, one for each backend server.
	Target []Sample
	// Base is the old version's sample.
	Base Sample
}

// Fault is the respect in which the new version is worse than the old one.
type Fault string

// The faults.
const (
	// NoFault means that no difference can be distinguished from chance.
	NoFault Fault = ""
	// Failing means that a larger fraction of the answers fails.
	Failing Fault = "failures"
	// Slow means that a larger fraction of the answers is several times slower.
	Slow Fault = "slow"
)

// Bounds of the comparison. Out of 2,000 simulated roll-outs for each kind of version, each
// with 900 answers of two workloads and a comparison after every ten answers
// (TestFalseAlarmsAndMisses):
//
//   - A version that fails half or a tenth of its answers, or is eight times slower for half
//     of them, is found in all, after 28 to 44 bad answers on average and 122 at most. If
//     both versions fail a fifth of their answers besides, it is found after 114 on average
//     and 249 at most.
//   - A version that is four times slower for half of its answers is found in 1,998.
//   - A sound version is not reverted in any; but in 4 if its backend servers are half as
//     fast, in 2 if both versions fail a fifth of their answers, and in 1 if one of its three
//     backend servers by itself fails half.
//   - A fixed ratio (three times the failures, or a mean duration higher by more than
//     slowSteps, after 20 answers; fixedRatio in the test) would revert the last kind in all
//     2,000 and find only 717 of the versions that are eight times slower.
const (
	// zScore is how many standard deviations the confidence bounds of a rate lie from the
	// observed rate.
	zScore = 3
	// failMargin and failRatio set the tolerated fraction of failed answers: failMargin plus
	// failRatio times the old version's fraction.
	failMargin = 0.02
	failRatio  = 1.5
	// slowSteps is how many half octaves above the old version's mean duration an answer
	// counts as slow; four make a factor of four.
	slowSteps = 4
	// slowMargin and slowRatio set the tolerated fraction of slow answers from the old
	// version's in the same way.
	slowMargin = 0.15
	slowRatio  = 2
	// tailSteps is how many half octaves above the lower quartile of the same backend
	// server's durations an answer counts as slow; four make a factor of four. tailMargin and
	// tailRatio set the tolerated fraction of these from the old version's. That one is taken
	// over all its backend servers together, whose durations vary more than those of each.
	tailSteps  = 4
	tailMargin = 0.1
	tailRatio  = 1.25
	// minAnswers is the number of answers below which no fault is reported, and minOwnTimed
	// the number of durations from which a backend server's own lower quartile is used.
	minAnswers  = 15
	minOwnTimed = 12
	// minTimed is the number of the old version's durations from which they are used for
	// comparison.
	minTimed = 30
	// minBaseAnswers is the number of the old version's answers from which its failure rate
	// is used. With fewer, the rate is taken to be assumedFailureRate.
	minBaseAnswers     = 20
	assumedFailureRate = 0.15
	// minForOutlier is the number of the new version's backend servers from which a fault
	// must also show without the worst of them, which may be faulty by itself.
	minForOutlier = 3
)

// Judge returns the new version's fault, or NoFault.
func (c *Comparison) Judge() Fault {
	for _, m := range [...]measure{failures(&c.Base), slow(&c.Base), tail(&c.Base)} {
		if c.worse(m) {
			return m.fault
		}
	}
	return NoFault
}

// measure is one criterion by which the new version is compared with the old one.
type measure struct {
	fault Fault
	// count returns how many of a backend server's answers are bad, and how many there are in
	// all.
	count func(s *Sample) (bad, all int)
	// bound is the tolerated fraction of bad answers.
	bound float64
}

// exceeded reports whether the fraction of bad answers lies above the bound by more than
// chance.
func (m *measure) exceeded(bad, all int) bool {
	return all >= minAnswers && lowerBound(bad, all) > m.bound
}

// worse reports whether the new version exceeds the bound of a measure and, from
// minForOutlier backend servers on, still does so without the worst of them.
func (c *Comparison) worse(m measure) bool {
	var bad, all, answered int
	var worstBad, worstAll int
	for i := range c.Target {
		b, n := m.count(&c.Target[i])
		if n == 0 {
			continue
		}
		answered++
		bad += b
		all += n
		if b*max(1, worstAll) > worstBad*n || worstAll == 0 {
			worstBad, worstAll = b, n
		}
	}
	if !m.exceeded(bad, all) {
		return false
	}
	return answered < minForOutlier || m.exceeded(bad-worstBad, all-worstAll)
}

// failures returns the measure of answers that fail.
func failures(base *Sample) measure {
	rate := assumedFailureRate
	if base.Answers >= minBaseAnswers {
		_, rate = wilsonInterval(base.Failed, base.Answers)
	}
	return measure{
		fault: Failing,
		count: func(s *Sample) (bad, all int) { return s.Failed, s.Answers },
		bound: failMargin + failRatio*rate,
	}
}

// slow returns the measure of answers that are several times slower than the old version's
// mean.
func slow(base *Sample) measure {
	if base.Timed < minTimed {
		return noMeasure
	}
	from := int(math.Ceil(base.meanBucket() + slowSteps))
	return measure{
		fault: Slow,
		count: func(s *Sample) (bad, all int) { return s.countFrom(from), s.Timed },
		bound: slowMargin + slowRatio*float64(base.countFrom(from))/float64(base.Timed),
	}
}

// tail returns the measure of answers that are several times slower than the faster answers
// of the same backend server. The speed of its host has no influence on it.
func tail(base *Sample) measure {
	if base.Timed < minTimed {
		return noMeasure
	}
	count := func(s *Sample) (bad, all int) {
		if s.Timed < minOwnTimed {
			return 0, 0
		}
		return s.countFrom(s.lowerQuartile() + tailSteps), s.Timed
	}
	bad, all := count(base)
	return measure{fault: Slow, count: count, bound: tailMargin + tailRatio*float64(bad)/float64(all)}
}

// noMeasure never finds a fault. It is used if the old version has too few answers to compare
// with.
var noMeasure = measure{count: func(*Sample) (bad, all int) { return 0, 0 }, bound: 1}

// lowerQuartile returns the bucket that a quarter of the durations do not exceed.
func (s *Sample) lowerQuartile() int {
	n := 0
	for i, count := range s.Times {
		if n += count; 4*n >= s.Timed {
			return i
		}
	}
	return len(s.Times)
}

// meanBucket returns the mean bucket, which is that of the geometric mean of the durations.
func (s *Sample) meanBucket() float64 {
	sum := 0
	for i, n := range s.Times {
		sum += i * n
	}
	return float64(sum) / float64(s.Timed)
}

// countFrom returns the number of durations in a bucket and those above it.
func (s *Sample) countFrom(from int) int {
	n := 0
	for i := max(0, from); i < len(s.Times); i++ {
		n += s.Times[i]
	}
	return n
}

// lowerBound returns the lower confidence bound of the rate of bad answers.
func lowerBound(bad, all int) float64 {
	low, _ := wilsonInterval(bad, all)
	return low
}

// wilsonInterval returns the bounds of the Wilson score interval, which contains the true
// rate except by chance.
func wilsonInterval(bad, all int) (low, high float64) {
	if all == 0 {
		return 0, 1
	}
	n, p, z := float64(all), float64(bad)/float64(all), float64(zScore)
	centre := p + z*z/(2*n)
	margin := z * math.Sqrt(p*(1-p)/n+z*z/(4*n*n))
	scale := 1 + z*z/n
	return (centre - margin) / scale, (centre + margin) / scale
}
