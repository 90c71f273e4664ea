// Package forward holds the HTTP plumbing that the entry proxy and the gate
// share: it sends a request, classifies a failure and relays the response.
//
// It never sends a request twice: net/http's own retries on reused connections
// are avoided, because the outcome "not run" that a caller receives must be true.
package forward
