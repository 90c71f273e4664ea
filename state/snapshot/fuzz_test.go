package snapshot

import (
	"math"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// compress returns the zstd-compressed form of raw CBOR.
func compress(raw ...byte) []byte { return encoder.EncodeAll(raw, nil) }

// twoVersions returns versions 1 and 2 of a configuration, whose contracts differ.
func twoVersions(f testing.TB) (*Snapshot, *Snapshot) {
	services := map[string]*ServiceEntry{"foglalas": {Revision: 1, Service: &model.Service{Name: "foglalas"}}}
	entry := &ContractEntry{Revision: 1, Contract: contract("clinic", "clinic.example", "foglalas")}
	a, err := Build(1, map[string]*ContractEntry{"clinic": entry}, services)
	must.NoError(f, err)
	hall := &ContractEntry{Revision: 2, Contract: contract("hall", "hall.example", "foglalas")}
	b, err := Build(2, map[string]*ContractEntry{"hall": hall}, services)
	must.NoError(f, err)
	return a, b
}

// FuzzDecodeSnapshot takes uncompressed CBOR as its input and compresses it,
// because random bytes would rarely pass decompression.
func FuzzDecodeSnapshot(f *testing.F) {
	a, _ := twoVersions(f)
	raw, err := encMode.Marshal(&body{Ref: a.ref, Contracts: a.contracts, Services: a.services})
	must.NoError(f, err)
	f.Add(raw)
	f.Add([]byte{0xa1, 0x02, 0xa1, 0x61, 'a', 0xf6})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var v body
		if decode("snapshot", compress(raw...), &v) != nil {
			return
		}
		// Build computes the hash of the content, so that Decode below doesn't
		// reject the input for a wrong hash.
		s, err := Build(v.Ref.Version, v.Contracts, v.Services)
		if err != nil {
			return
		}
		encoded, err := s.Encode()
		must.NoError(t, err)
		got, err := Decode(encoded)
		if s.CheckConsistency() != nil {
			must.Error(t, err)
			return
		}
		must.NoError(t, err)
		must.Eq(t, s.Ref(), got.Ref())
	})
}

func FuzzDecodeDelta(f *testing.F) {
	a, b := twoVersions(f)
	raw, err := encMode.Marshal(Diff(a, b))
	must.NoError(f, err)
	f.Add(raw)
	f.Add([]byte{0xa1, 0x03, 0xa1, 0x61, 'a', 0xa0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := DecodeDelta(compress(raw...))
		if err != nil {
			return
		}
		d.From = a.Ref()
		want, err := Build(d.To.Version, merge(a.contracts, d.PutContracts, d.DeleteContracts),
			merge(a.services, d.PutServices, d.DeleteServices))
		if err == nil {
			d.To = want.Ref()
		}
		if next, err := a.Apply(d); err == nil {
			must.Eq(t, want.Ref(), next.Ref())
			must.NoError(t, next.CheckConsistency())
			next.Lookup("clinic.example", "GET", "/rooms")
		}
	})
}

func TestDecodeRefusesHostileBodies(t *testing.T) {
	nan := contract("clinic", "clinic.example", "foglalas")
	nan.Rate.PerSecond = math.NaN()
	rawNaN, err := encMode.Marshal(&body{Contracts: map[string]*ContractEntry{"clinic": {Contract: nan}}})
	must.NoError(t, err)
	cases := map[string][]byte{
		"not compressed": {0xa0},
		"bomb":           compress(make([]byte, MaxDecoded+1)...),
		"null":           compress(0xf6),
		"null entry":     compress(0xa1, 0x02, 0xa1, 0x61, 'a', 0xf6),
		"null document":  compress(0xa1, 0x02, 0xa1, 0x61, 'a', 0xa1, 0x02, 0xf6),
		"same entry":     compress(0xa1, 0x02, 0xa2, 0x61, 'a', 0xa0, 0x61, 'a', 0xa0),
		"long array":     compress(0xa1, 0x05, 0x9a, 0xff, 0xff, 0xff, 0xff),
		"trailing":       compress(0xa0, 0xa0),
		"not a number":   compress(rawNaN...),
	}
	for name, b := range cases {
		t.Run(name, func(t *testing.T) {
			var ce *CodecError
			_, err := Decode(b)
			must.True(t, errors.As(err, &ce))
			if name != "not a number" { // as a delta, key 2 has another meaning
				_, err = DecodeDelta(b)
				must.True(t, errors.As(err, &ce))
			}
		})
	}
	var ne *NilEntryError
	_, err = Decode(compress(0xa1, 0x02, 0xa1, 0x61, 'a', 0xa0))
	must.True(t, errors.As(err, &ne))
}

func TestNilAndEmptySlicesHaveOneHash(t *testing.T) {
	a, b := contract("clinic", "clinic.example", "foglalas"), contract("clinic", "clinic.example", "foglalas")
	a.Routes, b.Routes = nil, []model.Route{}
	must.Eq(t, build(t, 1, a).Ref(), build(t, 1, b).Ref())
}

func TestValidateDocumentsFindsFault(t *testing.T) {
	var de *DocumentError
	must.True(t, errors.As(build(t, 1, contract("clinic", "clinic.example", "foglalas")).ValidateDocuments(), &de))
	must.Eq(t, "clinic", de.Name)
}
