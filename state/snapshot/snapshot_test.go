package snapshot

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

func contract(organisation, host, service string) *model.Contract {
	return &model.Contract{
		Organisation: organisation,
		Hosts:        []string{host},
		HandledBy:    model.SystemMesh,
		Classes:      []model.Class{{Name: "screens", Kind: model.KindInteractive}},
		Routes:       []model.Route{{Name: "all", PathPrefix: "/rooms", Service: service, Class: "screens"}},
	}
}

func build(t *testing.T, version uint64, contracts ...*model.Contract) *Snapshot {
	t.Helper()
	cs := make(map[string]*ContractEntry)
	for _, c := range contracts {
		cs[c.Organisation] = &ContractEntry{Revision: version, Contract: c}
	}
	ss := map[string]*ServiceEntry{"foglalas": {Revision: 1, Service: &model.Service{Name: "foglalas"}}}
	s, err := Build(version, cs, ss)
	must.NoError(t, err)
	return s
}

func TestDeltaLeadsToSameSnapshot(t *testing.T) {
	a := build(t, 1, contract("clinic", "clinic.example", "foglalas"))
	b := build(t, 2, contract("clinic", "clinic.example", "foglalas"), contract("hall", "hall.example", "foglalas"))
	raw, err := Diff(a, b).Encode()
	must.NoError(t, err)
	d, err := DecodeDelta(raw)
	must.NoError(t, err)
	got, err := a.Apply(d)
	must.NoError(t, err)
	must.Eq(t, b.Ref(), got.Ref())

	_, err = got.Apply(d)
	var ve *VersionError
	must.True(t, errors.As(err, &ve))
}

func TestApplyRefusesForeignBase(t *testing.T) {
	a := build(t, 1, contract("clinic", "clinic.example", "foglalas"))
	other := build(t, 1, contract("school", "school.example", "foglalas"))
	b := build(t, 2, contract("hall", "hall.example", "foglalas"))
	_, err := other.Apply(Diff(a, b))
	var be *BaseError
	must.True(t, errors.As(err, &be))
}

func TestWholeSnapshotSurvivesCodec(t *testing.T) {
	a := build(t, 7, contract("clinic", "clinic.example", "foglalas"))
	raw, err := a.Encode()
	must.NoError(t, err)
	got, err := Decode(raw)
	must.NoError(t, err)
	must.Eq(t, a.Ref(), got.Ref())

	raw[len(raw)/2] ^= 0x40
	_, err = Decode(raw)
	must.Error(t, err)
}

func TestConsistentFindsDanglingService(t *testing.T) {
	s := build(t, 1, contract("clinic", "clinic.example", "kiosztas"))
	var re *ReferenceError
	must.True(t, errors.As(s.CheckConsistency(), &re))
	must.Eq(t, "kiosztas", re.Name)
}

func TestConsistentFindsSharedHost(t *testing.T) {
	s := build(t, 1, contract("clinic", "A.example", "foglalas"), contract("hall", "a.example:80", "foglalas"))
	var he *HostError
	must.True(t, errors.As(s.CheckConsistency(), &he))
}

func TestLookupMatchesWholeSegments(t *testing.T) {
	s := build(t, 1, contract("clinic", "clinic.example", "foglalas"))
	m, ok := s.Lookup("Clinic.example:8080", "GET", "/rooms/1")
	must.True(t, ok)
	must.NotNil(t, m.Route)
	m, ok = s.Lookup("clinic.example", "GET", "/roomsx")
	must.True(t, ok)
	must.Nil(t, m.Route)
	_, ok = s.Lookup("other.example", "GET", "/rooms")
	must.False(t, ok)
}
