// Package forward holds the HTTP plumbing that the entry proxy and the gate
// share: it sends a request, classifies a failure and relays the answer.
//
// It never repeats a request: net/http's own retries on reused connections are
// turned off, because a caller who is told "not run" must be able to trust it.
package forward
