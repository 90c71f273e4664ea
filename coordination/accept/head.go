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

// Keys in the table service and prefixes of objects.
const (
	// HeadKey is the key of the item that names the current version.
	HeadKey = "config/head"
	// RecordPrefix starts the key of each change's record.
	RecordPrefix = "config/change/"
	// FullPrefix starts the key of each whole version.
	FullPrefix = "config/full/"
	// DeltaPrefix starts the key of each delta from the version before.
	DeltaPrefix = "config/delta/"
)

// RecentLength is the number of versions that the head lists, itself included,
// and so the largest number of deltas that lead to it. It is small because each
// zone's reader polls the head.
const RecentLength = 16

// Head names the current version. The zero Head stands before the first one.
type Head struct {
	// Ref is the current version.
	Ref snapshot.Ref `cbor:"1,keyasint"`
	// Recent lists the newest versions, the current one first, without gaps.
	Recent []Entry `cbor:"2,keyasint"`
}

// Entry is one accepted version.
type Entry struct {
	// Ref is the version.
	Ref snapshot.Ref `cbor:"1,keyasint"`
	// ChangeID names the change that it accepted.
	ChangeID string `cbor:"2,keyasint"`
	// Accepted is when it was accepted, in milliseconds since 1970 by the
	// accepter's clock. It is for operators; no decision uses it.
	Accepted int64 `cbor:"3,keyasint"`
}

// Time returns when the version was accepted.
func (e Entry) Time() time.Time { return time.UnixMilli(e.Accepted) }

// Record is the proof that a change was accepted. It is created in the
// transaction that moves the head.
type Record struct {
	// Entry is the version that accepted the change.
	Entry Entry `cbor:"1,keyasint"`
	// Sum is the hash of the change's content.
	Sum Sum `cbor:"2,keyasint"`
	// Previous is the change before; empty for the first one.
	Previous string `cbor:"3,keyasint,omitempty"`
}

// RecordKey returns the table key of a change's record.
func RecordKey(changeID string) string { return RecordPrefix + changeID }

// FullKey returns the object key of a whole version. Keys are in order of
// version.
func FullKey(r snapshot.Ref) string { return FullPrefix + objectName(r) }

// DeltaKey returns the object key of the delta that leads to a version from the
// one before.
func DeltaKey(r snapshot.Ref) string { return DeltaPrefix + objectName(r) }

func objectName(r snapshot.Ref) string {
	return fmt.Sprintf("%020d-%s", r.Version, hex.EncodeToString(r.Hash[:]))
}

// ObjectVersion returns the version in an object's key; false for a key that is
// not of FullKey's or DeltaKey's form.
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

// DecodeHead decodes the head item's value. Nothing is the zero Head. The error
// is a *DecodeError.
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

// advance returns the head after e.
func (h Head) advance(e Entry) Head {
	keep := h.Recent[:min(len(h.Recent), RecentLength-1)]
	recent := make([]Entry, 0, len(keep)+1)
	recent = append(recent, e)
	recent = append(recent, keep...)
	return Head{Ref: e.Ref, Recent: recent}
}

// last returns the id of the change that the head accepted.
func (h Head) last() string {
	if len(h.Recent) == 0 {
		return ""
	}
	return h.Recent[0].ChangeID
}

func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	return b, errors.Wrap(err, "encode")
}
