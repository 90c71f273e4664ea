// Package snapshot holds one complete, immutable version of the configuration.
// A Snapshot is built as a whole, checked by CheckConsistency and then swapped in
// atomically. It is never modified afterwards, so that readers need no lock.
package snapshot

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// ContractEntry is a contract and the version that last changed it.
type ContractEntry struct {
	// Revision is the configuration version that last changed the contract.
	Revision uint64 `cbor:"1,keyasint"`
	// Contract is the document. It must not be modified.
	Contract *model.Contract `cbor:"2,keyasint"`

	sum [sha256.Size]byte
	// valid is set once the contract has passed validation.
	valid atomic.Bool
}

// ServiceEntry is a service and the version that last changed it.
type ServiceEntry struct {
	// Revision is the configuration version that last changed the service.
	Revision uint64 `cbor:"1,keyasint"`
	// Service is the document. It must not be modified.
	Service *model.Service `cbor:"2,keyasint"`

	sum [sha256.Size]byte
	// valid is set once the service has passed validation.
	valid atomic.Bool
}

// Snapshot is one complete version of the configuration. All its methods are safe
// for concurrent use.
type Snapshot struct {
	ref       Ref
	contracts map[string]*ContractEntry
	services  map[string]*ServiceEntry
	hosts     map[string]*Target
}

// Empty returns the snapshot of version 0, which has no entries.
func Empty() *Snapshot {
	return &Snapshot{}
}

// Build returns the snapshot of the given version with the given entries. The
// maps and documents must not be modified afterwards. It returns a *NilEntryError
// for an entry without a document. It doesn't make the checks of CheckConsistency;
// call that before the snapshot is used.
func Build(version uint64, contracts map[string]*ContractEntry, services map[string]*ServiceEntry) (*Snapshot, error) {
	s := &Snapshot{contracts: contracts, services: services}
	if err := s.sumEntries(); err != nil {
		return nil, err
	}
	s.ref = Ref{Version: version, Hash: s.hash(version)}
	s.hosts = indexHosts(contracts)
	return s, nil
}

// Ref returns the snapshot's version and hash.
func (s *Snapshot) Ref() Ref { return s.ref }

// Version returns the snapshot's version.
func (s *Snapshot) Version() uint64 { return s.ref.Version }

// Contract returns an organisation's entry, or nil. It must not be modified.
func (s *Snapshot) Contract(organisation string) *ContractEntry { return s.contracts[organisation] }

// Service returns a service's entry, or nil. It must not be modified.
func (s *Snapshot) Service(name string) *ServiceEntry { return s.services[name] }

// Organisations returns the names of all organisations, sorted.
func (s *Snapshot) Organisations() []string { return slices.Sorted(maps.Keys(s.contracts)) }

// Services returns the names of all services, sorted.
func (s *Snapshot) Services() []string { return slices.Sorted(maps.Keys(s.services)) }

func (s *Snapshot) sumEntries() error {
	for name, e := range s.contracts {
		if e == nil || e.Contract == nil {
			return &NilEntryError{Name: name}
		}
		if err := sumDocument(&e.sum, e.Contract); err != nil {
			return err
		}
	}
	for name, e := range s.services {
		if e == nil || e.Service == nil {
			return &NilEntryError{Name: name}
		}
		if err := sumDocument(&e.sum, e.Service); err != nil {
			return err
		}
	}
	return nil
}

// sumDocument sets sum to the SHA-256 hash of the encoded document unless it is
// set already. Snapshots share entries, so that an entry may have its sum from an
// earlier Build.
func sumDocument(sum *[sha256.Size]byte, doc any) error {
	if *sum != ([sha256.Size]byte{}) {
		return nil
	}
	b, err := encMode.Marshal(doc)
	if err != nil {
		return errors.Wrap(err, "encode document")
	}
	*sum = sha256.Sum256(b)
	return nil
}

// hash returns the hash of the given version and of each entry's name, revision
// and content.
func (s *Snapshot) hash(version uint64) Hash {
	h := sha256.New()
	writeUint := func(v uint64) {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], v)
		h.Write(b[:])
	}
	writeEntry := func(name string, revision uint64, sum []byte) {
		writeUint(uint64(len(name)))
		h.Write([]byte(name))
		writeUint(revision)
		h.Write(sum)
	}
	writeUint(version)
	writeUint(uint64(len(s.contracts)))
	for _, name := range s.Organisations() {
		e := s.contracts[name]
		writeEntry(name, e.Revision, e.sum[:])
	}
	for _, name := range s.Services() {
		e := s.services[name]
		writeEntry(name, e.Revision, e.sum[:])
	}
	return Hash(h.Sum(nil))
}
