// Package quarantine stops requests that crash backend servers from being sent
// again.
//
// Such a request crashes each backend server that starts to run it. Its caller
// retries it, at any node and under a new request identifier, so a limit on the
// attempts per identifier doesn't stop it: with nine backend servers, one request
// caused some twenty crashes. Three parts stop it:
//
//   - Watch determines, for the backend server of one host, which requests were in
//     flight when it crashed.
//   - Core replicates this evidence to all nodes, so that crashes on different hosts
//     are counted together, and sends it to nodes that start or reconnect.
//   - A suspect.View gives the request path the requests that must not be sent.
//
// A request that was in flight at a crash by coincidence is cleared by its next
// success on any node. Once quarantined it is sent in trials only, one at a time among
// all nodes (NextTrial, Trials).
package quarantine

import "time"

// RetryAfter is the Retry-After delay of a quarantined request. The request isn't
// served before the fault in the backend servers is fixed, which takes people
// minutes at least, or a trial shows that there is none. Callers that won't wait this
// long fail with the refusal.
const RetryAfter = time.Minute
