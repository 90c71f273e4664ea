// Package quota keeps the quotas of organisations over a whole fleet with leases of
// single tokens.
//
// Each availability zone mints its even part of an organisation's rate, whatever other
// zones do. In a zone one member keeps the book of an organisation (Book): the one that
// comes first for it by rendezvous hashing, so that the work is spread over all members
// and the loss of one moves its organisations only. A request needs one token. Nodes hold
// a few (Account) where an organisation's requests come often to them, and ask the keeper
// of the book otherwise. A keeper that is short asks those of the other zones.
//
// A token is taken from whoever gives it before the message leaves, so that a message that
// is lost loses tokens and makes none.
package quota
