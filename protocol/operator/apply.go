package operator

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// ApplyRequest is the body of a request to PathApply: one change. All its
// documents come into force in one version, or none does.
type ApplyRequest struct {
	// ChangeID identifies the change. A change that is sent several times takes
	// effect once.
	ChangeID string `json:"changeId"`
	// Batch holds the documents.
	Batch model.Batch `json:"batch"`
	// Base maps each document, as "contract/NAME" or "service/NAME", to the
	// revision that the change is based on; 0, or no entry, for a new document.
	Base map[string]uint64 `json:"base,omitempty"`
	// Resend is true if the change was sent before and its outcome is not known.
	Resend bool `json:"resend,omitempty"`
}

// ApplyResponse is the response to an ApplyRequest whose change is accepted. The
// change is in force on each node as soon as the node holds Version or a newer
// one.
type ApplyResponse struct {
	ChangeID string `json:"changeId"`
	Version  uint64 `json:"version"`
	Hash     string `json:"hash"`
	// Repeated is true if the change had been accepted before.
	Repeated bool `json:"repeated,omitempty"`
}

// Document is one document with its revision.
type Document struct {
	// Revision is the version that last changed the document.
	Revision uint64          `json:"revision"`
	Contract *model.Contract `json:"contract,omitempty"`
	Service  *model.Service  `json:"service,omitempty"`
}

// Documents is the response to PathDocuments.
type Documents struct {
	// Version is the version that the responding node holds.
	Version   uint64     `json:"version"`
	Documents []Document `json:"documents"`
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	ChangeID string    `json:"changeId"`
	Version  uint64    `json:"version"`
	Accepted time.Time `json:"accepted"`
}

// History is the response to PathHistory, newest change first.
type History struct {
	Head    uint64         `json:"head"`
	Entries []HistoryEntry `json:"entries"`
}

// DrainRequest is the body of a request to PathDrain: it takes the backend server
// of a node out of service, or puts it back into service.
type DrainRequest struct {
	Node  model.NodeID `json:"node"`
	Drain bool         `json:"drain"`
}
