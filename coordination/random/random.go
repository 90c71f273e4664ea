// Package random implements a seeded source of random numbers for the request path. It is
// safe for concurrent use and takes one atomic addition per number and no lock. It uses the
// splitmix64 generator, which is not suitable for secrets.
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

// Source is a seeded source of random numbers, safe for concurrent use. The zero value is
// seeded with 0.
type Source struct {
	state atomic.Uint64
}

// New returns a source with the given seed. Equal seeds give equal sequences.
func New(seed uint64) *Source {
	s := new(Source)
	s.state.Store(seed)
	return s
}

// Uint64 returns a random number from the whole range of uint64.
func (s *Source) Uint64() uint64 { return Mix(s.state.Add(increment)) }

// Float64 returns a random number in [0, 1).
func (s *Source) Float64() float64 { return Unit(s.Uint64()) }

// IntN returns a random number in [0, n). n must be positive.
func (s *Source) IntN(n int) int {
	hi, _ := bits.Mul64(s.Uint64(), uint64(n))
	return int(hi)
}

// Mix returns a hash of x: the output function of splitmix64, which is a bijection.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * mixFirst
	x = (x ^ x>>27) * mixSecond
	return x ^ x>>31
}

// Unit maps x linearly to [0, 1), using its upper 53 bits.
func Unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }
