package accept

import (
	"crypto/sha256"
	"regexp"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Change is one atomic change of the configuration: all its documents are accepted
// in one version, or none is.
type Change struct {
	// ID identifies the change. Sending it again with the same ID and content
	// has no further effect.
	ID string
	// Batch holds the documents. The caller must not modify them afterwards.
	Batch *model.Batch
	// Base holds the revision that each document had when the operator read
	// it, by DocumentKey; 0 or no entry for a new document. It is not part of
	// the content that must be the same when the change is sent again.
	Base map[string]uint64
	// Force replaces the documents without a check of their revisions.
	Force bool
	// Resend marks a change that was sent before with an unknown outcome. A
	// transaction of the earlier send may still take effect, so the change is
	// rejected only after that has been ruled out. The earlier send must have
	// ended, or have the same Base.
	Resend bool
}

// Sum is the SHA-256 hash of a change's content, which is its documents.
type Sum [sha256.Size]byte

// changeIDPattern restricts change ids, because an id is part of a table key.
var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// DocumentKey identifies a document in Change.Base and in ConflictError.
type DocumentKey = string

// ContractKey returns the document key of an organisation's contract.
func ContractKey(organisation string) DocumentKey { return "contract/" + organisation }

// ServiceKey returns the document key of a service.
func ServiceKey(name string) DocumentKey { return "service/" + name }

// sum returns the hash of the documents only: when the change is sent again, it
// may be based on later revisions.
func (c *Change) sum() (Sum, error) {
	b, err := cbor.Marshal(c.Batch)
	if err != nil {
		return Sum{}, errors.Wrap(err, "encode change")
	}
	return sha256.Sum256(b), nil
}

// ValidChangeID reports whether id has the form of a change id.
func ValidChangeID(id string) bool { return changeIDPattern.MatchString(id) }

// check validates the change's id and its documents, without regard to the current
// version.
func (c *Change) check(validate func(*model.Batch) error) error {
	if !ValidChangeID(c.ID) {
		return &InvalidError{Err: &ChangeIDFormatError{ID: c.ID}}
	}
	if err := validate(c.Batch); err != nil {
		return &InvalidError{Err: err}
	}
	return nil
}
