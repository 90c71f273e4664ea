// Package claim decides whether a request that must run at most once may be
// sent to a backend server.
//
// A caller marks such a request with an Idempotency-Key. Before the entry
// proxy sends the request, it creates a record for the key in the platform's
// table service with a conditional write; this record is the claim. Only the
// request whose attempt the record names may be sent. The record later holds
// the response, which is replayed to retries with the same key. A claim never
// times out and passes to another request: an owner that was paused may resume
// and send. Only the owner itself releases its claim, and only once it is
// certain that nothing ran.
//
// The package does no I/O. Machine is the state machine of one request;
// internal/claims drives it.
package claim
