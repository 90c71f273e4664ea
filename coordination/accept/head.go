package accept

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Keys of items in the table service and of objects in the object store.
const (
	// HeadKey is the key of the item that names the current version.
	HeadKey = "config/head"
	// RecordPrefix is the prefix of the item keys of changes' records.
	RecordPrefix = "config/change/"
	// FullPrefix is the prefix of the object keys of full versions.
	FullPrefix = "config/full/"
	// DeltaPrefix is the prefix of the object keys of deltas, each from the
	// preceding version.
	DeltaPrefix = "config/delta/"
)

// RecentLength is the largest number of versions that the head lists, the current
// one included, and so the largest number of deltas that lead to it from an
// older one. It is small because each zone's reader polls the head.
const RecentLength = 16

// Head is the value of the head item, which names the current version. The zero
// Head precedes the first version.
type Head struct {
	// Ref is the current version.
	Ref snapshot.Ref `cbor:"1,keyasint"`
	// Recent lists the newest versions, consecutive and the current one first.
	Recent []Entry `cbor:"2,keyasint"`
}

// Entry is one accepted version.
type Entry struct {
	// Ref is the version.
	Ref snapshot.Ref `cbor:"1,keyasint"`
	// ChangeID is the id of the change that was accepted in it.
	ChangeID string `cbor:"2,keyasint"`
	// Accepted is when it was accepted, in Unix milliseconds by the accepter's
	// clock. It is for operators; no decision depends on it.
	Accepted int64 `cbor:"3,keyasint"`
}

// Time returns when the version was accepted, by the accepter's clock.
func (e Entry) Time() time.Time { return time.UnixMilli(e.Accepted) }

// Record is the proof that a change was accepted. The transaction that moves the
// head creates it.
type Record struct {
	// Entry is the version in which the change was accepted.
	Entry Entry `cbor:"1,keyasint"`
	// Sum is the hash of the change's content.
	Sum Sum `cbor:"2,keyasint"`
	// Previous is the id of the preceding change; empty for the first one.
	Previous string `cbor:"3,keyasint,omitempty"`
}

// RecordKey returns the item key of a change's record.
func RecordKey(changeID string) string { return RecordPrefix + changeID }

// FullKey returns the object key of a full version. The keys sort by version.
func FullKey(r snapshot.Ref) string { return FullPrefix + objectName(r) }

// DeltaKey returns the object key of the delta to a version from the preceding one.
// The keys sort by version.
func DeltaKey(r snapshot.Ref) string { return DeltaPrefix + objectName(r) }

// objectName returns the version's number, padded to sort, and its hash.
func objectName(r snapshot.Ref) string {
	return fmt.Sprintf("%020d-%s", r.Version, hex.EncodeToString(r.Hash[:]))
}

// ObjectVersion returns the version number in an object key; false for a key that
// is not of the form of FullKey or DeltaKey.
func ObjectVersion(key string) (uint64, bool) {
	name, full := strings.CutPrefix(key, FullPrefix)
	if !full {
		var delta bool
		if name, delta = strings.CutPrefix(key, DeltaPrefix); !delta {
			return 0, false
		}
	}
	number, hash, ok := strings.Cut(name, "-")
	if !ok || len(hash) != hex.EncodedLen(snapshot.HashSize) {
		return 0, false
	}
	v, err := strconv.ParseUint(number, 10, 64)
	return v, err == nil
}

// DecodeHead decodes the head item's value; an empty one decodes to the zero Head.
// The error is a *DecodeError.
func DecodeHead(b []byte) (Head, error) {
	var h Head
	if len(b) == 0 {
		return h, nil
	}
	if err := cbor.Unmarshal(b, &h); err != nil {
		return Head{}, &DecodeError{Key: HeadKey, Err: err}
	}
	return h, nil
}

// DecodeRecord decodes the value of a change's record. The error is a
// *DecodeError.
func DecodeRecord(changeID string, b []byte) (*Record, error) {
	r := new(Record)
	if err := cbor.Unmarshal(b, r); err != nil {
		return nil, &DecodeError{Key: RecordKey(changeID), Err: err}
	}
	return r, nil
}

// advance returns the head that follows h once e is accepted.
func (h Head) advance(e Entry) Head {
	keep := h.Recent[:min(len(h.Recent), RecentLength-1)]
	recent := make([]Entry, 0, len(keep)+1)
	recent = append(recent, e)
	recent = append(recent, keep...)
	return Head{Ref: e.Ref, Recent: recent}
}

// lastChangeID returns the id of the change that was accepted last; empty for the
// zero Head.
func (h Head) lastChangeID() string {
	if len(h.Recent) == 0 {
		return ""
	}
	return h.Recent[0].ChangeID
}

func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	return b, errors.Wrap(err, "encode")
}
