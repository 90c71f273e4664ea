// Package gate implements the admission control of a backend server: it counts
// the slots in use, queues the requests that wait for a slot, and refuses
// requests that can't be served in time.
//
// The fast path is atomic: a request that finds a free slot and an empty queue
// takes no lock. The package reads no clock and starts no goroutine.
package gate
