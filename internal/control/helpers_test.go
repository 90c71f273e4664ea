package control

import (
	"github.com/jacinthgate/jacinthgate/coordination/accept"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// testConfig returns a configuration without validation of documents, which the
// tests of the documents cover.
func testConfig() Config {
	cfg := DefaultConfig()
	cfg.Accept.Validate = func(*model.Batch) error { return nil }
	return cfg
}

func contract(organisation string, weight int) *model.Contract {
	return &model.Contract{Organisation: organisation, Hosts: []string{organisation + ".example"}, Weight: weight}
}

// put returns a change that writes one contract, based on its revision base.
func put(id, organisation string, weight int, base uint64) accept.Change {
	return accept.Change{
		ID:    id,
		Batch: &model.Batch{Contracts: []*model.Contract{contract(organisation, weight)}},
		Base:  map[string]uint64{accept.ContractKey(organisation): base},
	}
}

func contractRevision(s *snapshot.Snapshot, organisation string) uint64 {
	if e := s.Contract(organisation); e != nil {
		return e.Revision
	}
	return 0
}
