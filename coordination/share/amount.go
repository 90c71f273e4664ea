package share

import (
	"math"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Amount is a quantity of one limit. Its two dimensions are shared out
// independently by the same rules.
type Amount struct {
	// PerSecond is a rate in requests per second.
	PerSecond float64
	// Concurrency is a number of requests in flight.
	Concurrency float64
}

func (a Amount) plus(b Amount) Amount {
	return Amount{a.PerSecond + b.PerSecond, a.Concurrency + b.Concurrency}
}

func (a Amount) minus(b Amount) Amount {
	return Amount{a.PerSecond - b.PerSecond, a.Concurrency - b.Concurrency}
}

func (a Amount) times(f float64) Amount { return Amount{a.PerSecond * f, a.Concurrency * f} }

func (a Amount) smaller(b Amount) Amount {
	return Amount{min(a.PerSecond, b.PerSecond), min(a.Concurrency, b.Concurrency)}
}

func (a Amount) larger(b Amount) Amount {
	return Amount{max(a.PerSecond, b.PerSecond), max(a.Concurrency, b.Concurrency)}
}

// tolerance is the relative and absolute error that sums of amounts may have
// from floating-point arithmetic.
const tolerance = 1e-9

func (a Amount) within(b Amount) bool {
	return a.PerSecond <= b.PerSecond*(1+tolerance)+tolerance && a.Concurrency <= b.Concurrency*(1+tolerance)+tolerance
}

func (a Amount) nonNegative() Amount { return a.larger(Amount{}) }

// mantissaSteps is the number of steps to which a mantissa is rounded on the
// wire. A number with so short a mantissa fits into a 16-bit float.
const mantissaSteps = 1 << 11

// roundDown rounds each dimension towards zero to a number that encodes in few
// bytes.
func (a Amount) roundDown() Amount {
	return Amount{roundMantissa(a.PerSecond, math.Floor), roundMantissa(a.Concurrency, math.Floor)}
}

// roundUp rounds each dimension away from zero to a number that encodes in few
// bytes.
func (a Amount) roundUp() Amount {
	return Amount{roundMantissa(a.PerSecond, math.Ceil), roundMantissa(a.Concurrency, math.Ceil)}
}

func roundMantissa(x float64, direction func(float64) float64) float64 {
	fraction, exponent := math.Frexp(x)
	return math.Ldexp(direction(fraction*mantissaSteps)/mantissaSteps, exponent)
}

// demandItem returns a demand for the wire. It rounds up, because a receiver
// must not underestimate the grants in use.
func demandItem(limit string, demand, inUse Amount) message.DemandItem {
	demand, inUse = demand.roundUp(), inUse.roundUp()
	return message.DemandItem{
		Limit:           limit,
		PerSecond:       demand.PerSecond,
		InFlight:        demand.Concurrency,
		HeldPerSecond:   inUse.PerSecond,
		HeldConcurrency: inUse.Concurrency,
	}
}

// demandByLimit returns the demand on each limit, with negative numbers
// replaced by 0.
func demandByLimit(items []message.DemandItem) map[string]Amount {
	m := make(map[string]Amount, len(items))
	for _, i := range items {
		m[i.Limit] = Amount{i.PerSecond, i.InFlight}.nonNegative()
	}
	return m
}

// inUseByLimit returns the grants in use of each limit, with negative numbers
// replaced by 0.
func inUseByLimit(items []message.DemandItem) map[string]Amount {
	m := make(map[string]Amount, len(items))
	for _, i := range items {
		m[i.Limit] = Amount{i.HeldPerSecond, i.HeldConcurrency}.nonNegative()
	}
	return m
}

// zeroAmounts returns a map with the keys of m and zero amounts.
func zeroAmounts(m map[string]Amount) map[string]Amount {
	z := make(map[string]Amount, len(m))
	for limit := range m {
		z[limit] = Amount{}
	}
	return z
}

// add adds each amount of from to sum.
func add(sum, from map[string]Amount) {
	for limit, a := range from {
		sum[limit] = sum[limit].plus(a)
	}
}

// FleetLimit returns the fleet-wide limit of the given name, which is
// organisation or organisation/class. It returns false if the snapshot has no
// such limit. A dimension without a limit of its own is 0.
func FleetLimit(s *snapshot.Snapshot, name string) (Amount, bool) {
	organisation, className, isClass := splitLimitName(name)
	e := s.Contract(organisation)
	if e == nil {
		return Amount{}, false
	}
	c := e.Contract
	if !isClass {
		return Amount{c.Rate.PerSecond, float64(c.Concurrency)}, true
	}
	for i := range c.Classes {
		k := &c.Classes[i]
		if k.Name != className {
			continue
		}
		a := Amount{Concurrency: float64(k.Concurrency)}
		if k.Rate != nil {
			a.PerSecond = k.Rate.PerSecond
		}
		return a, true
	}
	return Amount{}, false
}
