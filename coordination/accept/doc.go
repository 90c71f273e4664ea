// Package accept decides on one change of the configuration: it is accepted whole
// as the next version, or rejected and changes nothing.
//
// A version is accepted at the moment when the head item names it. One conditional
// transaction moves the head and creates the change's record; the version's objects
// are stored before that. So a crash at any step leaves either the old version or
// the new one in force, and a change id takes effect at most once, however often
// and through however many nodes it is sent.
//
// When the response to the transaction is lost, the transaction is in doubt: it may
// have taken effect or may do so later. Machine then reads the head and the record:
//
//   - The record exists: the change is accepted.
//   - The head has moved and there is no record: the transaction in doubt can't
//     take effect any more, since its condition names the earlier revision and
//     revisions only increase. The change is prepared again from the new head.
//   - The head has not moved: the transaction in doubt may still take effect. The
//     same transaction is sent again. Both have the same condition, so at most one
//     of them takes effect.
//
// The outcome is reported as unknown only when none of these cases could be
// established before the deadline. The operator then sends the change again with
// Resend set. The transaction in doubt depends on the head's revision at the time of
// the first send. If the head has not moved since and the second send has to reject
// the change, it first acts as a fence: it writes the head again unchanged, which
// raises the revision, so the transaction in doubt can never take effect.
package accept
