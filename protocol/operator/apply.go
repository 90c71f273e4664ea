package operator

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// ApplyRequest asks for one change: all its documents come into force in one
// version, or none does.
type ApplyRequest struct {
	// ChangeID names the change. Sending the same change again takes effect
	// once.
	ChangeID string `json:"changeId"`
	// Batch holds the documents.
	Batch model.Batch `json:"batch"`
	// Base gives for each document, as "contract/NAME" or "service/NAME", the
	// revision that the change is based on; 0, or no entry, for a new document.
	Base map[string]uint64 `json:"base,omitempty"`
	// Resend says that the change was sent before and that its outcome is not
	// known.
	Resend bool `json:"resend,omitempty"`
}

// ApplyResponse says that a change is accepted. It is then in force on each
// node as soon as the node holds Version or a newer one.
type ApplyResponse struct {
	ChangeID string `json:"changeId"`
	Version  uint64 `json:"version"`
	Hash     string `json:"hash"`
	// Repeated says that the change had been accepted before.
	Repeated bool `json:"repeated,omitempty"`
}

// Document is one document with its revision.
type Document struct {
	// Revision is the version that last changed the document.
	Revision uint64          `json:"revision"`
	Contract *model.Contract `json:"contract,omitempty"`
	Service  *model.Service  `json:"service,omitempty"`
}

// Documents is the answer to PathDocuments.
type Documents struct {
	// Version is the version that the answering node holds.
	Version   uint64     `json:"version"`
	Documents []Document `json:"documents"`
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	ChangeID string    `json:"changeId"`
	Version  uint64    `json:"version"`
	Accepted time.Time `json:"accepted"`
}

// History is the answer to PathHistory, newest first.
type History struct {
	Head    uint64         `json:"head"`
	Entries []HistoryEntry `json:"entries"`
}

// DrainRequest takes the backend server of a node out of service, or back.
type DrainRequest struct {
	Node  model.NodeID `json:"node"`
	Drain bool         `json:"drain"`
}
