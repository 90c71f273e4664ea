package snapshot

import "maps"

// Delta contains the changes from one snapshot to a later one. Apply checks the
// hash of its result, so that a node never holds anything but a complete accepted
// version.
type Delta struct {
	From            Ref                       `cbor:"1,keyasint"`
	To              Ref                       `cbor:"2,keyasint"`
	PutContracts    map[string]*ContractEntry `cbor:"3,keyasint,omitempty"`
	PutServices     map[string]*ServiceEntry  `cbor:"4,keyasint,omitempty"`
	DeleteContracts []string                  `cbor:"5,keyasint,omitempty"`
	DeleteServices  []string                  `cbor:"6,keyasint,omitempty"`
}

// Diff returns the delta from a to b. b may be any number of versions newer.
func Diff(a, b *Snapshot) *Delta {
	d := &Delta{
		From:         a.ref,
		To:           b.ref,
		PutContracts: make(map[string]*ContractEntry),
		PutServices:  make(map[string]*ServiceEntry),
	}
	for name, e := range b.contracts {
		old := a.contracts[name]
		if old == nil || old.Revision != e.Revision || old.sum != e.sum {
			d.PutContracts[name] = e
		}
	}
	for name, e := range b.services {
		old := a.services[name]
		if old == nil || old.Revision != e.Revision || old.sum != e.sum {
			d.PutServices[name] = e
		}
	}
	for _, name := range a.Organisations() {
		if b.contracts[name] == nil {
			d.DeleteContracts = append(d.DeleteContracts, name)
		}
	}
	for _, name := range a.Services() {
		if b.services[name] == nil {
			d.DeleteServices = append(d.DeleteServices, name)
		}
	}
	return d
}

// Apply returns the snapshot that results from applying d to s, which it doesn't
// modify. On failure it returns a *VersionError, *BaseError, *NilEntryError,
// *HashError or one of CheckConsistency's errors.
func (s *Snapshot) Apply(d *Delta) (*Snapshot, error) {
	if d.To.Version <= s.ref.Version {
		return nil, &VersionError{Held: s.ref.Version, Offered: d.To.Version}
	}
	if d.From != s.ref {
		return nil, &BaseError{Held: s.ref, From: d.From}
	}
	contracts := merge(s.contracts, d.PutContracts, d.DeleteContracts)
	services := merge(s.services, d.PutServices, d.DeleteServices)
	next, err := Build(d.To.Version, contracts, services)
	if err != nil {
		return nil, err
	}
	if next.ref != d.To {
		return nil, &HashError{Want: d.To, Got: next.ref}
	}
	if err := next.CheckConsistency(); err != nil {
		return nil, err
	}
	return next, nil
}

func merge[E any](base, put map[string]*E, del []string) map[string]*E {
	m := make(map[string]*E, len(base)+len(put))
	maps.Copy(m, base)
	maps.Copy(m, put)
	for _, name := range del {
		delete(m, name)
	}
	return m
}
