package quarantine

import "github.com/jacinthgate/jacinthgate/state/suspect"

// Crashed reports a crash of the host's backend server and the requests that were
// under way.
type Crashed struct {
	Crash        suspect.Crash
	Fingerprints []suspect.Fingerprint
}

// Succeeded reports that a suspected request has succeeded.
type Succeeded struct {
	Fingerprint suspect.Fingerprint
}

// Learned reports what was known before this node started.
type Learned struct {
	Entries []suspect.Entry
}

// Event implements core.Event.
func (Crashed) Event() {}

// Event implements core.Event.
func (Succeeded) Event() {}

// Event implements core.Event.
func (Learned) Event() {}

// Changed reports that View returns a newer view to publish.
type Changed struct{}

// Quarantined reports that a request is no longer sent.
type Quarantined struct {
	Entry suspect.Entry
	// Witness says that a crash beside this node is part of the evidence: such nodes
	// put the quarantine where it outlasts them.
	Witness bool
}

// Action implements core.Action.
func (Changed) Action() {}

// Action implements core.Action.
func (Quarantined) Action() {}
