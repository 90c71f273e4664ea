// Package quota enforces the quotas of organisations across the fleet. A request needs
// one token of its organisation.
//
//   - Each availability zone issues tokens at an equal part of an organisation's rate,
//     independent of the other zones.
//   - In each zone one member owns the ledger of an organisation, which holds the tokens that
//     were issued and not yet used (Ledger). The owner is the member that ranks first for the
//     organisation in rendezvous hashing (Members.Owners): this spreads the load over all
//     members, and the loss of a member moves only its own organisations.
//   - The member that ranks second is the standby. It holds some of the owner's tokens as a
//     deposit (Ledger.Deposit, Ledger.AcceptDeposit) and gives them out while the owner doesn't
//     respond. While it considers the owner gone it issues tokens itself, within the remaining
//     allowance.
//   - A node requests tokens from the owner, and holds a few in advance for organisations whose
//     requests arrive frequently (Lease).
//   - An owner that is short of tokens borrows from the owners in other zones.
//   - A node that reaches neither owner nor standby requests tokens from those of the other
//     zones. If that fails too, it uses an even share of the quota (Lease.TakeEvenShare).
//
// A token is subtracted at its source before the message that carries it is sent, so a lost
// message loses tokens and never duplicates them.
package quota
