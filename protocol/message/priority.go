package message

// Priority is the order in which queued messages are sent to a peer.
type Priority uint8

// The priorities, most urgent first.
const (
	// Urgent is for version heads, drains and suspicions.
	Urgent Priority = iota
	// Normal is for configuration bodies, acknowledgements and records.
	Normal
	// Routine is for digests, load and demand reports.
	Routine

	// NumPriorities is the number of priorities.
	NumPriorities = 3
)
