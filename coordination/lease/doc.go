// Package lease decides when a node holds its zone's lease: one item of the
// platform's table service, changed by conditional writes only.
//
// No two clocks are compared. A holder counts its lease from before it sent
// the write; a candidate takes over only after it has itself watched the item
// unchanged for that long and a margin. So two holders never overlap while
// their clocks' speeds differ by less than the margin over one lease. The term
// rises by one with each takeover and fences what a lapsed holder still sends.
//
// The package is a pure core: see package core for the rules of such a core.
package lease
