// Package freshness maintains proofs that the configuration in force is current, so that no
// request is admitted with a key that was revoked longer ago than a bound.
//
// # Proofs
//
// A proof states that no version above V had been acknowledged at moment T. A read of the
// store that began at T and returned V is such a proof: the store is linearizable, so the
// read would have returned any version whose acknowledgement began before T. If a node holds
// version H and V <= H, every version that it lacks was therefore acknowledged after T. A
// proof of a version that isn't in force yet is kept until it is; meanwhile the older proof
// goes on ageing. Forwarding, delaying or keeping a proof never makes its moment later.
//
// A proof of a version older than the newest known one is dropped: it is useless, or wrong
// because the store that was read is an older copy. The store's epoch, which rises when the
// store is restored from an older copy, reveals this too: nodes forward the epoch, and after
// learning of a new one they ignore all reads, their own and those of peers, that began
// before SettleTime has passed.
//
// # Propagation
//
// Nodes forward proofs to all peers, so that a node that the store rejects can keep serving.
// Wall clocks are not compared, and no transit time is assumed: a message sent just before a
// link is cut may stay in a buffer for seconds, and an age stated in it would then be too
// low. Instead, each node stamps its messages with its own clock, and a proof is dated
// relative to the arrival of the receiver's stamp at the sender. The receiver has recorded
// when it made the stamp, and the stamp can't have arrived earlier. The moment that the
// receiver computes is thus early by the transit time of the stamp, and never late, however
// long the message with the proof takes.
//
// # Clocks
//
// Time is an argument. The clock must keep running while the process or the host is
// suspended; otherwise a node that resumes takes an old proof for a recent one. Moments are
// only compared within a node. Differences are measured on one node and applied on another,
// over at most MaxStampAge; Margin covers clocks that run at different rates.
//
// # Admission of a request
//
// A request is admitted if Left, evaluated after the request was read, is above 0. The
// request was sent before that, and so within the bound, whatever delays it after admission:
// a frozen process or a queue in front of a backend server. The caller must load the routes
// before it calls Left, and call Left once more before it sends the request on. A proof must
// be published after the routes that it covers: a proof of newer routes then can't admit a
// request under older ones.
package freshness
