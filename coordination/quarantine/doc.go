// Package quarantine keeps requests that crash backend servers from being sent
// again.
//
// Such a request ends each backend server that begins to run it. Its caller asks
// again, at any node and under a new identifier, so that no bound on the attempts of
// one identifier holds it: with nine backend servers some twenty ended under one
// request. Three parts stop it:
//
//   - Watch finds, beside one backend server, which requests were under way when it
//     ended.
//   - Core shares this evidence among all nodes, so that crashes beside different
//     nodes count together, and gives it to nodes that start or were cut off.
//   - A suspect.View tells the path of a request which requests are not sent.
//
// A request that was there by chance is cleared by its next success anywhere.
package quarantine

import "time"

// RetryAfter is after what time the caller of a quarantined request should come back:
// it isn't served before the fault in the backend servers is mended, which takes people
// minutes at least. Callers that wait less than that end with the refusal.
const RetryAfter = time.Minute
