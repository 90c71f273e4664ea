package share

import (
	"math"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Amount is a part of one limit. Both dimensions are shared out alike.
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

// rounding is the error that sums of amounts may have.
const rounding = 1e-9

func (a Amount) within(b Amount) bool {
	return a.PerSecond <= b.PerSecond*(1+rounding)+rounding && a.Concurrency <= b.Concurrency*(1+rounding)+rounding
}

func (a Amount) positive() Amount { return a.larger(Amount{}) }

// significant is the number of values of a mantissa on the wire. A number that
// is rounded to it fits into a float of 16 bits.
const significant = 1 << 11

// down rounds towards zero to what is short on the wire.
func (a Amount) down() Amount {
	return Amount{round(a.PerSecond, math.Floor), round(a.Concurrency, math.Floor)}
}

// up rounds away from zero to what is short on the wire.
func (a Amount) up() Amount {
	return Amount{round(a.PerSecond, math.Ceil), round(a.Concurrency, math.Ceil)}
}

func round(x float64, to func(float64) float64) float64 {
	fraction, exponent := math.Frexp(x)
	return math.Ldexp(to(fraction*significant)/significant, exponent)
}

// demandItem rounds up: what is held must not seem to be less.
func demandItem(limit string, demand, held Amount) message.DemandItem {
	demand, held = demand.up(), held.up()
	return message.DemandItem{
		Limit:           limit,
		PerSecond:       demand.PerSecond,
		InFlight:        demand.Concurrency,
		HeldPerSecond:   held.PerSecond,
		HeldConcurrency: held.Concurrency,
	}
}

// demanded returns the demand of each limit, without negative numbers.
func demanded(items []message.DemandItem) map[string]Amount {
	m := make(map[string]Amount, len(items))
	for _, i := range items {
		m[i.Limit] = Amount{i.PerSecond, i.InFlight}.positive()
	}
	return m
}

// held returns the grants in use of each limit, without negative numbers.
func held(items []message.DemandItem) map[string]Amount {
	m := make(map[string]Amount, len(items))
	for _, i := range items {
		m[i.Limit] = Amount{i.HeldPerSecond, i.HeldConcurrency}.positive()
	}
	return m
}

// zeroes returns the same limits without amounts.
func zeroes(m map[string]Amount) map[string]Amount {
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

// Total returns the fleet-wide limit of the given name, organisation or
// organisation/class. It returns false for one that the snapshot does not have. A
// dimension without a limit of its own is 0.
func Total(s *snapshot.Snapshot, name string) (Amount, bool) {
	organisation, className, isClass := cutName(name)
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
