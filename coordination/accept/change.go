package accept

import (
	"crypto/sha256"
	"regexp"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Change is one change of the configuration: all its documents come into force
// in one version, or none does.
type Change struct {
	// ID names the change. A repeat with the same ID and content takes effect
	// once.
	ID string
	// Batch holds the documents. They must not be changed afterwards.
	Batch *model.Batch
	// Base gives the revision that each document had when the operator read
	// it, by DocumentKey; 0 or no entry for a new document. It is not part
	// of the content that a repeat must share.
	Base map[string]uint64
	// Force replaces documents whatever their revision is.
	Force bool
	// Resend says that the change was sent before and that its outcome is not
	// known. A transaction of the earlier send may still be on its way, so
	// the answer is "no" only after that has been ruled out. The earlier send
	// must have ended, or have the same Base.
	Resend bool
}

// Sum is the hash of a change's content.
type Sum [sha256.Size]byte

// changeID is what an ID may look like; it is part of a table key.
var changeID = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// DocumentKey names documents in Change.Base and in ConflictError.
type DocumentKey = string

// ContractKey returns the key of an organisation's contract.
func ContractKey(organisation string) DocumentKey { return "contract/" + organisation }

// ServiceKey returns the key of a service.
func ServiceKey(name string) DocumentKey { return "service/" + name }

// sum covers the documents only: a repeat may be based on later revisions.
func (c *Change) sum() (Sum, error) {
	b, err := cbor.Marshal(c.Batch)
	if err != nil {
		return Sum{}, errors.Wrap(err, "encode change")
	}
	return sha256.Sum256(b), nil
}

// ValidChangeID reports whether a change may have this id.
func ValidChangeID(id string) bool { return changeID.MatchString(id) }

// check checks the change on its own.
func (c *Change) check(validate func(*model.Batch) error) error {
	if !ValidChangeID(c.ID) {
		return &InvalidError{Err: &ChangeIDFormatError{ID: c.ID}}
	}
	if err := validate(c.Batch); err != nil {
		return &InvalidError{Err: err}
	}
	return nil
}
