// Package lease decides when a node holds the lease of its zone. The lease is
// one item of the platform's table service, changed by conditional writes only.
//
// Clocks of different nodes are never compared. A holder counts the duration
// of its lease from before it sent the write; a candidate takes over only after
// it has itself seen the item unchanged for that duration plus a margin. Two
// holders therefore never overlap while the drift between their clocks over one
// lease is less than the margin. The term rises by one with each takeover and
// fences messages that a holder sends after its lease has lapsed.
//
// The package is a pure core: package core states the rules for such cores.
package lease
