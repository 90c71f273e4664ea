// Package gate decides which requests may use the backend server of a host: it
// counts the slots, orders the requests that wait for one, and refuses what
// can't be served in time.
//
// The fast path is atomic: a request that finds a free slot and nobody waiting
// takes no lock. The package reads no clock and starts no goroutine.
package gate
