// Package claim decides whether a request that must run at most once may be
// sent to a backend server.
//
// A caller marks such a request with an Idempotency-Key. Before the entry
// proxy sends it, it creates a record for the key in the platform's table
// service with a conditional write. Only the request whose attempt the record
// names may be sent. The record later holds the answer, which is replayed to
// repeats. A record is never taken over because time has passed: an owner
// that was paused may resume and send. Only the owner itself releases it, and
// only after it is certain that nothing ran.
//
// The package does no I/O. Machine is the state machine of one request;
// internal/claims drives it.
package claim
