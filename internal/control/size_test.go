package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/accept"
	"github.com/jacinthgate/jacinthgate/platform/platformtest"
	"github.com/jacinthgate/jacinthgate/state/model"
)

const (
	manyContracts = 2000
	manyServices  = 270
)

// largeContract returns a contract of typical size, with three classes and four
// routes.
func largeContract(i, weight int) *model.Contract {
	name := fmt.Sprintf("organisation-%04d", i)
	c := &model.Contract{
		Organisation: name,
		Hosts:        []string{name + ".example", "www." + name + ".example"},
		HandledBy:    model.SystemMesh,
		Rate:         model.Rate{PerSecond: float64(100 + i%50), Burst: 200},
		Concurrency:  40,
		Weight:       weight,
	}
	kinds := []model.ClassKind{model.KindNonRepeatable, model.KindInteractive, model.KindBulk}
	for j, kind := range kinds {
		c.Classes = append(c.Classes, model.Class{
			Name:     string(kind),
			Kind:     kind,
			Weight:   j + 1,
			Deadline: model.Duration(time.Duration(j+1) * time.Second),
		})
	}
	for j := range 4 {
		c.Routes = append(c.Routes, model.Route{
			Name:       fmt.Sprintf("route-%d", j),
			Methods:    []string{"GET", "POST"}[:1+j%2],
			PathPrefix: fmt.Sprintf("/v1/part-%d", j),
			Service:    fmt.Sprintf("service-%03d", (i+j)%manyServices),
			Class:      string(kinds[j%len(kinds)]),
		})
	}
	return c
}

// largeBatch returns a batch of manyServices services and manyContracts contracts.
func largeBatch() *model.Batch {
	b := new(model.Batch)
	for i := range manyServices {
		b.Services = append(b.Services, &model.Service{Name: fmt.Sprintf("service-%03d", i), MaxEjected: 0.3})
	}
	for i := range manyContracts {
		b.Contracts = append(b.Contracts, largeContract(i, 1))
	}
	return b
}

// changeOne returns a change of one contract, whose latest revision is base.
func changeOne(n int, base uint64) accept.Change {
	c := largeContract(7, 1+n%100)
	return accept.Change{
		// The ID has the length of a UUID.
		ID:    fmt.Sprintf("01234567-89ab-cdef-0123-%012d", n),
		Batch: &model.Batch{Contracts: []*model.Contract{c}},
		Base:  map[string]uint64{accept.ContractKey(c.Organisation): base},
	}
}

// Bounds the reads, writes and stored bytes of a change of one contract among
// 2,000. The bounds on bytes leave a margin of a fifth.
func TestCostOfOneChange(t *testing.T) {
	t.Parallel()
	const (
		maxFull   = 36_000
		maxDelta  = 415
		maxRecord = 200
	)
	s := platformtest.New(platformtest.Faults{}, 1)
	a := NewAccepter(DefaultConfig(), s.Table(), s.Objects())
	mustApply(t, a, accept.Change{ID: "all", Batch: largeBatch()})
	before := s.Counters()
	got := mustApply(t, a, changeOne(1, 1))
	after := s.Counters()
	must.Eq(t, 2, after.Reads-before.Reads)   // head and record
	must.Eq(t, 4, after.Writes-before.Writes) // two objects, head and record
	must.Eq(t, 1, after.Ops[platformtest.OpTransact].Calls-before.Ops[platformtest.OpTransact].Calls)

	full, err := s.Objects().Get(t.Context(), accept.FullKey(got.Ref))
	must.NoError(t, err)
	delta, err := s.Objects().Get(t.Context(), accept.DeltaKey(got.Ref))
	must.NoError(t, err)
	record, err := s.Table().Get(t.Context(), accept.RecordKey(changeOne(1, 1).ID))
	must.NoError(t, err)
	t.Logf("full %d, delta %d, record %d bytes", len(full), len(delta), len(record.Value))
	must.Less(t, maxFull, len(full))
	must.Less(t, maxDelta, len(delta))
	must.Less(t, maxRecord, len(record.Value))
}

// The head is polled, so its size must stay bounded, however many changes were
// accepted.
func TestHeadStaysSmall(t *testing.T) {
	const maxHead = 1_760
	s := platformtest.New(platformtest.Faults{}, 1)
	a := newAccepter(s)
	for n := range 2 * accept.RecentLength {
		c := changeOne(n, uint64(n))
		c.Batch.Contracts[0].Routes = nil // routes need services, which this batch does not contain
		mustApply(t, a, c)
	}
	head, err := s.Table().Get(t.Context(), accept.HeadKey)
	must.NoError(t, err)
	t.Logf("head %d bytes", len(head.Value))
	must.Less(t, maxHead, len(head.Value))
}

func BenchmarkApply(b *testing.B) {
	s := platformtest.New(platformtest.Faults{}, 1)
	a := NewAccepter(DefaultConfig(), s.Table(), s.Objects())
	if _, err := a.Apply(b.Context(), accept.Change{ID: "all", Batch: largeBatch()}); err != nil {
		b.Fatal(err)
	}
	for n := 0; b.Loop(); n++ {
		if _, err := a.Apply(b.Context(), changeOne(n, uint64(n+1))); err != nil {
			b.Fatal(err)
		}
	}
}
