// Package random is a seeded source of random numbers for the path of a
// request: safe for concurrent use, one atomic addition for each number and no
// lock. It is the splitmix64 generator; it is not for secrets.
package random

import (
	"math/bits"
	"sync/atomic"
)

// Constants of splitmix64.
const (
	increment = 0x9e3779b97f4a7c15
	mixFirst  = 0xbf58476d1ce4e5b9
	mixSecond = 0x94d049bb133111eb
)

// Source is a seeded random source. The zero value is seeded with 0.
type Source struct {
	state atomic.Uint64
}

// New returns a source with the given seed. Equal seeds give equal sequences.
func New(seed uint64) *Source {
	s := new(Source)
	s.state.Store(seed)
	return s
}

// Uint64 returns the next number.
func (s *Source) Uint64() uint64 { return Mix(s.state.Add(increment)) }

// Float64 returns a number in [0, 1).
func (s *Source) Float64() float64 { return Unit(s.Uint64()) }

// IntN returns a number in [0, n). n must be positive.
func (s *Source) IntN(n int) int {
	hi, _ := bits.Mul64(s.Uint64(), uint64(n))
	return int(hi)
}

// Mix scatters the bits of x.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * mixFirst
	x = (x ^ x>>27) * mixSecond
	return x ^ x>>31
}

// Unit maps x to [0, 1).
func Unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }
