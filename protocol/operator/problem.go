package operator

import "github.com/jacinthgate/jacinthgate/state/model"

// Code is the kind of a Problem.
type Code string

// The codes.
const (
	// CodeInvalid: the documents break a rule. Nothing was changed.
	CodeInvalid Code = "invalid"
	// CodeConflict: another operator changed the document first. Nothing was
	// changed.
	CodeConflict Code = "conflict"
	// CodeRefused: the change was certainly not accepted, for another reason.
	CodeRefused Code = "refused"
	// CodeUnknown: the change may have been accepted. Sending it again with the
	// same change id resolves its outcome.
	CodeUnknown Code = "unknown"
	// CodeNotReady: the node holds no full version yet.
	CodeNotReady Code = "not-ready"
	// CodeNotFound: there is no such document, change or node.
	CodeNotFound Code = "not-found"
	// CodeMalformed: the request itself is malformed.
	CodeMalformed Code = "malformed"
)

// Problem is the body of every response that is not a success.
type Problem struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Faults lists all faults of an invalid change's documents.
	Faults []Fault `json:"faults,omitempty"`
	// Document and Revision name the document in conflict and its current
	// revision.
	Document string `json:"document,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	// Node is the node that reports the problem.
	Node model.NodeID `json:"node,omitempty"`
}

// Fault is one rule violation in a document.
type Fault struct {
	Path    string `json:"path"`
	Found   string `json:"found"`
	Allowed string `json:"allowed"`
}

// Error implements error, so that a client can return the Problem as an error.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Message }
