package control

import (
	"github.com/jacinthgate/jacinthgate/coordination/accept"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// testConfig checks no documents on their own: that is tested with them.
func testConfig() Config {
	cfg := DefaultConfig()
	cfg.Accept.Validate = func(*model.Batch) error { return nil }
	return cfg
}

func contract(customer string, weight int) *model.Contract {
	return &model.Contract{Customer: customer, Hosts: []string{customer + ".example"}, Weight: weight}
}

// put returns a change of one contract.
func put(id, customer string, weight int, base uint64) accept.Change {
	return accept.Change{
		ID:    id,
		Batch: &model.Batch{Contracts: []*model.Contract{contract(customer, weight)}},
		Base:  map[string]uint64{accept.ContractKey(customer): base},
	}
}

func contractRevision(s *snapshot.Snapshot, customer string) uint64 {
	if e := s.Contract(customer); e != nil {
		return e.Revision
	}
	return 0
}
