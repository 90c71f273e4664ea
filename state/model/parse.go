package model

import (
	"slices"

	"github.com/jacinthgate/jacinthgate/state/strictjson"
)

// validator is a document that can be validated.
type validator interface {
	faults() strictjson.Faults
}

// parse decodes b into doc and validates it. The error is a strictjson.Faults
// with the faults of both steps.
func parse(b []byte, doc validator) error {
	faults := strictjson.Decode(b, doc)
	faults.Merge(doc.faults())
	return faults.Err()
}

// ParseContract parses and validates one contract. The error is a
// strictjson.Faults.
func ParseContract(b []byte) (*Contract, error) {
	c := new(Contract)
	if err := parse(b, c); err != nil {
		return nil, err
	}
	return c, nil
}

// ParseService parses and validates one service. The error is a
// strictjson.Faults.
func ParseService(b []byte) (*Service, error) {
	s := new(Service)
	if err := parse(b, s); err != nil {
		return nil, err
	}
	return s, nil
}

// ParseBatch parses and validates a batch. The error is a strictjson.Faults.
func ParseBatch(b []byte) (*Batch, error) {
	batch := new(Batch)
	if err := parse(b, batch); err != nil {
		return nil, err
	}
	return batch, nil
}

// ParseDocument parses a contract (recognised by its key organisation), a
// service (by its key name) or a batch, and returns it as a batch. The error is a
// strictjson.Faults; its paths are those of the document as written.
func ParseDocument(b []byte) (*Batch, error) {
	keys := strictjson.Keys(b)
	switch {
	case slices.Contains(keys, "organisation"):
		c, err := ParseContract(b)
		if err != nil {
			return nil, err
		}
		return &Batch{Contracts: []*Contract{c}}, nil
	case slices.Contains(keys, "name"):
		s, err := ParseService(b)
		if err != nil {
			return nil, err
		}
		return &Batch{Services: []*Service{s}}, nil
	default:
		return ParseBatch(b)
	}
}
