// Package quota enforces the quotas of organisations over a whole fleet. A request needs
// one token of its organisation.
//
//   - Each availability zone issues tokens at its even part of an organisation's rate,
//     whatever other zones do.
//   - In a zone one member owns the ledger of an organisation, which holds the tokens that
//     were issued and not used (Ledger). The owner is the member that comes first for the
//     organisation by rendezvous hashing (Members.Owners): the work is spread over all
//     members, and the loss of one moves its organisations only.
//   - The member that comes second is the standby. It holds some tokens of the owner's, a
//     deposit (Ledger.Deposit, Ledger.Keep), and gives them out while the owner doesn't answer.
//     It issues tokens itself while the owner is held to be gone, within what the bound leaves.
//   - A node asks the owner for tokens, and has a few in advance where an organisation's
//     requests come often to it (Lease).
//   - An owner that is short borrows tokens from the owners in other zones.
//   - A node that reaches neither owner nor standby asks those of the other zones, and uses
//     an even share of the quota where that fails too (Lease.TakeEvenShare).
//
// A token is taken from whoever gives it before the message leaves, so that a message that
// is lost loses tokens and makes none.
package quota
