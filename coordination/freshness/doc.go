// Package freshness keeps proofs that the configuration in force is current, so that no
// request is let in under a key that was taken away too long ago.
//
// # Proofs
//
// A proof says: no version above V had been acknowledged at moment T. A read of the store
// that began at T and showed V is one: the store's answers are linearizable, so what
// began to be acknowledged before T would have shown. What a node that holds H lacks is
// then acknowledged after T, if V <= H. A proof of a version that isn't in force yet waits
// until it is; the older proof goes on ageing meanwhile. A proof never gets younger by
// being passed on, held up or kept.
//
// Once a version is known to exist, a proof of an older one is wrong or of no use: the
// store that was read may be an older copy. It is dropped. The store's life tells as well
// that it came back older: nodes pass it on, and for Settle after they meet a new one no
// read that began before counts, whoever made it.
//
// # Passing on
//
// Nodes pass proofs on to all peers, so that one that the store turns away serves on. Wall
// clocks are not compared, and how long a message is under way is not known: one sent just
// before a link is cut may lie in a buffer for seconds, and an age in it would tell too
// little. So each node stamps its messages with its own clock, and a proof refers to the
// arrival of the receiver's stamp at the sender. The receiver knows when it made the stamp,
// and the stamp can't have arrived earlier: the proof's moment that it computes is early by
// the stamp's way, and never late, whatever happens to the answer.
//
// # Clocks
//
// Time is an argument. It must go on while the process or the host stands still, or a node
// that wakes up takes an old proof for a young one. Moments are only compared within a
// node. Differences are taken on one node and applied on another, over MaxSpan at most;
// Margin pays for clocks that run at different rates.
//
// # When a request is judged
//
// A request is let in where Left is above 0 after the request was read. It was sent
// before that, so before the bound ended: whatever delays it after the judgement, a frozen
// process or a queue in front of a backend server, it was sent in time. The routes must be
// loaded before Left is asked, once more before the request is sent, and a proof must be
// published after the routes that it counts for: a proof of newer routes then can't let a
// request in under older ones.
package freshness
