package accept

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// candidate is a version that is ready to be accepted as the successor of one
// head, with its objects and the values of the transaction in encoded form.
type candidate struct {
	headRevision uint64 // revision of the head item that it succeeds
	snapshot     *snapshot.Snapshot
	entry        Entry
	full, delta  []byte
	head, record []byte
	// fullStored and deltaStored are set once the store has confirmed the
	// objects full and delta.
	fullStored, deltaStored bool
}

// prepare builds, checks and encodes the version that follows m.base. The error is
// a *ConflictError or an *InvalidError.
func (m *Machine) prepare(now time.Time) (*candidate, error) {
	if err := checkRevisions(m.base, &m.change); err != nil {
		return nil, err
	}
	next, err := build(m.base, m.change.Batch)
	if err != nil {
		return nil, &InvalidError{Err: err}
	}
	c := &candidate{headRevision: m.headRevision, snapshot: next}
	if err := m.encodeObjects(c); err != nil {
		return nil, &InvalidError{Err: err}
	}
	c.entry = Entry{Ref: next.Ref(), ChangeID: m.change.ID, Accepted: now.UnixMilli()}
	if c.head, err = encode(m.head.advance(c.entry)); err != nil {
		return nil, &InvalidError{Err: err}
	}
	record := &Record{Entry: c.entry, Sum: m.sum, Previous: m.head.lastChangeID()}
	if c.record, err = encode(record); err != nil {
		return nil, &InvalidError{Err: err}
	}
	return c, nil
}

// encodeObjects encodes the version and its delta, and decodes both again as a
// node will, since a version that nodes can't load must not be accepted.
func (m *Machine) encodeObjects(c *candidate) error {
	var err error
	if c.full, err = c.snapshot.Encode(); err != nil {
		return err
	}
	if len(c.full) > m.cfg.MaxFull {
		return &SizeError{What: "version", Size: len(c.full), Limit: m.cfg.MaxFull}
	}
	if c.delta, err = snapshot.Diff(m.base, c.snapshot).Encode(); err != nil {
		return err
	}
	if len(c.delta) > m.cfg.MaxDelta {
		return &SizeError{What: "delta", Size: len(c.delta), Limit: m.cfg.MaxDelta}
	}
	loaded, err := snapshot.Decode(c.full)
	if err != nil {
		return err
	}
	if loaded.Ref() != c.snapshot.Ref() {
		return &snapshot.HashError{Want: c.snapshot.Ref(), Got: loaded.Ref()}
	}
	delta, err := snapshot.DecodeDelta(c.delta)
	if err != nil {
		return err
	}
	_, err = m.base.Apply(delta)
	return err
}

// checkRevisions checks that each document of the change has, in base, the
// revision that the change is based on, and that documents to be deleted exist.
func checkRevisions(base *snapshot.Snapshot, c *Change) error {
	for _, d := range c.Batch.Contracts {
		if err := c.checkRevision(ContractKey(d.Organisation), contractRevision(base, d.Organisation)); err != nil {
			return err
		}
	}
	for _, d := range c.Batch.Services {
		if err := c.checkRevision(ServiceKey(d.Name), serviceRevision(base, d.Name)); err != nil {
			return err
		}
	}
	for _, name := range c.Batch.DeleteContracts {
		if err := c.checkDeletion(ContractKey(name), contractRevision(base, name)); err != nil {
			return err
		}
	}
	for _, name := range c.Batch.DeleteServices {
		if err := c.checkDeletion(ServiceKey(name), serviceRevision(base, name)); err != nil {
			return err
		}
	}
	return nil
}

// checkRevision compares a document's current revision with the change's base
// revision, unless the change is forced.
func (c *Change) checkRevision(key DocumentKey, current uint64) error {
	if c.Force || c.Base[key] == current {
		return nil
	}
	return &ConflictError{Document: key, Base: c.Base[key], Current: current}
}

// checkDeletion checks the revision as checkRevision does, and that the document
// exists.
func (c *Change) checkDeletion(key DocumentKey, current uint64) error {
	if err := c.checkRevision(key, current); err != nil {
		return err
	}
	if current == 0 {
		return &InvalidError{Err: &MissingDocumentError{Document: key}}
	}
	return nil
}

// contractRevision returns the revision of an organisation's contract; 0 when it
// does not exist.
func contractRevision(s *snapshot.Snapshot, organisation string) uint64 {
	if e := s.Contract(organisation); e != nil {
		return e.Revision
	}
	return 0
}

// serviceRevision returns the revision of a service; 0 when it does not exist.
func serviceRevision(s *snapshot.Snapshot, name string) uint64 {
	if e := s.Service(name); e != nil {
		return e.Revision
	}
	return 0
}

// build returns the version that follows base, with the batch's documents. The
// error is one of snapshot.Build or of Snapshot.CheckConsistency.
func build(base *snapshot.Snapshot, b *model.Batch) (*snapshot.Snapshot, error) {
	version := base.Version() + 1
	contracts := make(map[string]*snapshot.ContractEntry)
	for _, name := range base.Organisations() {
		contracts[name] = base.Contract(name)
	}
	services := make(map[string]*snapshot.ServiceEntry)
	for _, name := range base.Services() {
		services[name] = base.Service(name)
	}
	for _, name := range b.DeleteContracts {
		delete(contracts, name)
	}
	for _, name := range b.DeleteServices {
		delete(services, name)
	}
	for _, d := range b.Contracts {
		contracts[d.Organisation] = &snapshot.ContractEntry{Revision: version, Contract: d}
	}
	for _, d := range b.Services {
		services[d.Name] = &snapshot.ServiceEntry{Revision: version, Service: d}
	}
	next, err := snapshot.Build(version, contracts, services)
	if err != nil {
		return nil, err
	}
	return next, next.CheckConsistency()
}
