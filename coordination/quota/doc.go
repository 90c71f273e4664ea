// Package quota keeps the quotas of organisations over a whole fleet with leases of
// single tokens.
//
// Each availability zone issues its even part of an organisation's rate, whatever other
// zones do. In a zone one member owns the ledger of an organisation (Ledger): the one that
// comes first for it by rendezvous hashing, so that the work is spread over all members
// and the loss of one moves its organisations only. A request needs one token. Nodes hold
// a few (Lease) where an organisation's requests come often to them, and ask the owner
// of the ledger otherwise. An owner that is short asks those of the other zones.
//
// A token is taken from whoever gives it before the message leaves, so that a message that
// is lost loses tokens and makes none.
package quota
