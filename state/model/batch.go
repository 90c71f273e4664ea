package model

import (
	"fmt"

	"github.com/jacinthgate/jacinthgate/state/strictjson"
)

// Batch is a set of changes that are applied together as one version, or not
// at all.
type Batch struct {
	// Contracts are the contracts to create or replace.
	Contracts []*Contract `json:"contracts,omitempty"`
	// Services are the services to create or replace.
	Services []*Service `json:"services,omitempty"`
	// DeleteContracts names the organisations whose contracts are deleted.
	DeleteContracts []string `json:"deleteContracts,omitempty" jsonschema:"uniqueItems=true"`
	// DeleteServices names the services that are deleted. No route may refer
	// to them afterwards.
	DeleteServices []string `json:"deleteServices,omitempty" jsonschema:"uniqueItems=true"`
}

// Validate checks each document of the batch and that no document or host
// occurs twice. It returns all faults as a strictjson.Faults, nil when there is
// none.
func (b *Batch) Validate() error { return b.faults().Err() }

func (b *Batch) faults() strictjson.Faults {
	k := new(checker)
	if len(b.Contracts)+len(b.Services)+len(b.DeleteContracts)+len(b.DeleteServices) == 0 {
		k.faults.Add("", "no change", "at least one contract, service or deletion")
	}
	k.batchContracts(b)
	k.batchServices(b)
	return k.faults
}

func (k *checker) batchContracts(b *Batch) {
	seen := make(map[string]bool)
	hosts := make(map[string]string)
	for i, c := range b.Contracts {
		path := strictjson.Index("contracts", i)
		if c == nil {
			k.faults.Add(path, "null", "a contract")
			continue
		}
		k.addNested(path, c.faults())
		k.unique(path+".organisation", c.Organisation, seen)
		k.hostConflicts(path+".hosts", c, hosts)
	}
	k.deletions("deleteContracts", b.DeleteContracts, seen)
}

// hostConflicts adds a fault for each host of c that an earlier contract of the
// batch claims for another organisation, and adds c's hosts to owners, which
// maps each host to its organisation.
func (k *checker) hostConflicts(path string, c *Contract, owners map[string]string) {
	for i, host := range c.Hosts {
		owner, taken := owners[host]
		if taken && owner != c.Organisation {
			k.faults.AddValue(strictjson.Index(path, i), host, fmt.Sprintf("a host that %s doesn't claim", owner))
		}
		owners[host] = c.Organisation
	}
}

func (k *checker) batchServices(b *Batch) {
	seen := make(map[string]bool)
	for i, s := range b.Services {
		path := strictjson.Index("services", i)
		if s == nil {
			k.faults.Add(path, "null", "a service")
			continue
		}
		k.addNested(path, s.faults())
		k.unique(path+".name", s.Name, seen)
	}
	k.deletions("deleteServices", b.DeleteServices, seen)
}

// deletions checks the names to delete; seen holds the names of the documents
// that the batch creates or replaces.
func (k *checker) deletions(path string, names []string, seen map[string]bool) {
	for i, name := range names {
		at := strictjson.Index(path, i)
		if k.name(at, name) {
			k.unique(at, name, seen)
		}
	}
}

// addNested adds the faults of the document at path, with path put before
// theirs.
func (k *checker) addNested(path string, faults strictjson.Faults) {
	for _, f := range faults {
		k.faults.Add(strictjson.Join(path, f.Path), f.Found, f.Allowed)
	}
}
