package route

import (
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

func withOrganisations(all ...Organisation) Config { return Config{Version: 1, Organisations: all} }

func TestKeyFindsItsOrganisation(t *testing.T) {
	table, err := NewTable(withOrganisations(
		Organisation{Name: "a", Keys: []string{"k1", "k2"}, Quota: &model.Rate{PerSecond: 2, Burst: 1}},
		Organisation{Name: "b", Keys: []string{"k3"}},
	), Policy{})
	must.NoError(t, err)
	must.True(t, table.RequiresKey())
	must.Eq(t, "a", table.Organisation("k2").Name)
	must.Eq(t, "b", table.Organisation("k3").Name)
	must.Nil(t, table.Organisation("k4"))
	must.Nil(t, table.Organisation(""))
}

// A configuration without a list of organisations needs no keys. One with an empty list
// requires a key that no caller has, so that all callers are rejected.
func TestKeysAreRequiredOnlyWithOrganisations(t *testing.T) {
	without, err := NewTable(Config{Version: 1}, Policy{})
	must.NoError(t, err)
	must.False(t, without.RequiresKey())
	none, err := NewTable(Config{Version: 1, Organisations: []Organisation{}}, Policy{})
	must.NoError(t, err)
	must.True(t, none.RequiresKey())
}

// A configuration with an invalid or ambiguous organisation, such as two with the same key,
// is rejected, and the error message doesn't reveal the key.
func TestFaultyOrganisationsAreRefusedWithoutTheirKeys(t *testing.T) {
	const secret = "s3cr3t"
	for name, faulty := range map[string][]Organisation{
		"two with one key":               {{Name: "a", Keys: []string{secret}}, {Name: "b", Keys: []string{secret}}},
		"two with one name":              {{Name: "a"}, {Name: "a", Keys: []string{secret}}},
		"no name":                        {{Keys: []string{secret}}},
		"a name that no header can hold": {{Name: "a\nb", Keys: []string{secret}}},
		"an empty key":                   {{Name: "a", Keys: []string{secret, ""}}},
		"an empty quota":                 {{Name: "a", Keys: []string{secret}, Quota: &model.Rate{}}},
	} {
		_, err := NewTable(withOrganisations(faulty...), Policy{})
		var typed *OrganisationError
		must.True(t, errors.As(err, &typed), must.Sprint(name))
		must.False(t, strings.Contains(err.Error(), secret), must.Sprint(name))
	}
}

func BenchmarkOrganisation(b *testing.B) {
	table, err := NewTable(withOrganisations(Organisation{Name: "a", Keys: []string{"92cqf75rjvz48wuakn2f"}}), Policy{})
	must.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if table.Organisation("92cqf75rjvz48wuakn2f") == nil {
			b.Fatal("no organisation found for the key")
		}
	}
}

func TestOrganisationsWeighAsMuchAsTheirQuotas(t *testing.T) {
	table, err := NewTable(withOrganisations(
		Organisation{Name: "a", Quota: &model.Rate{PerSecond: 20, Burst: 1}},
		Organisation{Name: "b", Quota: &model.Rate{PerSecond: 60, Burst: 1}},
		Organisation{Name: "c"},
	), Policy{})
	must.NoError(t, err)
	must.Eq(t, []float64{20, 60, 60}, []float64{table.Weight("a"), table.Weight("b"), table.Weight("c")})
	none, err := NewTable(withOrganisations(Organisation{Name: "a"}), Policy{})
	must.NoError(t, err)
	must.Eq(t, 1.0, none.Weight("a"))
}
