package model

import "time"

// Work identifies a workload of a backend server: a group of requests that take
// about the same time and have the same rank. It is comparable.
type Work struct {
	// Kind is the kind of the requests' class. It determines whether they may
	// be repeated.
	Kind ClassKind `cbor:"1,keyasint"`
	// Rank is the priority of the workload; 0 is the highest.
	Rank int `cbor:"2,keyasint"`
	// Target is the response time up to which a response is worth most to its
	// caller, 0 if it is unknown. It distinguishes workloads of the same kind
	// and rank.
	Target time.Duration `cbor:"3,keyasint"`
}

// WorkOf returns the workload of requests of which only the kind is known.
func WorkOf(kind ClassKind) Work { return Work{Kind: kind, Rank: kind.Rank()} }
