package quarantine

import "github.com/jacinthgate/jacinthgate/state/suspect"

// Crashed is the event that the host's backend server has crashed, with the requests
// that were in flight.
type Crashed struct {
	Crash        suspect.Crash
	Fingerprints []suspect.Fingerprint
}

// Succeeded is the event that a suspected request has succeeded on this host.
type Succeeded struct {
	Fingerprint suspect.Fingerprint
}

// Loaded is the event that the evidence in the platform's store has been read.
type Loaded struct {
	// Entries may hold several entries of one request, in any order.
	Entries []suspect.Entry
	// Own are the entries that this node has written, before its start too.
	Own []suspect.Entry
}

// Event implements core.Event.
func (Crashed) Event() {}

// Event implements core.Event.
func (Succeeded) Event() {}

// Event implements core.Event.
func (Loaded) Event() {}

// Changed is the action to publish the view that Core.View returns, which has changed.
type Changed struct{}

// Quarantined is the action to report that a request is no longer sent.
type Quarantined struct {
	Entry suspect.Entry
	// Witness says that a crash on this node's host is part of the evidence.
	Witness bool
}

// Record is the action to write the evidence against a request to the store, where it
// survives a restart of all nodes. Core.Entry returns what is to be written.
type Record struct {
	Fingerprint suspect.Fingerprint
}

// Action implements core.Action.
func (Changed) Action() {}

// Action implements core.Action.
func (Quarantined) Action() {}

// Action implements core.Action.
func (Record) Action() {}
