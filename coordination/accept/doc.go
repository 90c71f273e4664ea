// Package accept decides how one change of the configuration is accepted: taken
// whole as the next version, or refused with nothing changed.
//
// A version is accepted at the moment when the head item names it. The head is
// moved by one conditional transaction, which also creates the change's own
// record; the version's objects are stored before. So a crash at any step
// leaves the old version or the new one, and a change id takes effect at most
// once, however often it is sent and through however many nodes.
//
// When the answer to the transaction is lost, it may have taken effect or may
// do so later. Machine then reads the head and the record:
//
//   - The record exists: the change is accepted.
//   - The head has moved and there is no record: the lost transaction can't
//     take effect any more, since its condition names the earlier revision and
//     revisions only rise. The change starts again from the new head.
//   - The head has not moved: the transaction may still be on its way. The same
//     transaction is sent again. Both have the same condition, so at most one of
//     them takes effect.
//
// Only when none of this can be read before the deadline is the outcome called
// unknown. The operator then sends the change again with Resend set. The lost
// transaction of the first send depends on the head's revision of that time; if
// the head has not moved and the second send has to answer "no", it first writes
// the head again unchanged. That moves the revision and so ends the lost
// transaction for certain.
package accept
