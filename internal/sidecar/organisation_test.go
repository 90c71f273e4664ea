package sidecar

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

const (
	clinicKey = "c1in1ck3y"
	hotelKey  = "h0t3lk3y"
)

// keyedFleet returns a fleet whose callers show keys on all routes but one.
func keyedFleet(t *testing.T, nodes int) *fleet {
	f := newFleet(t, nodes)
	f.configure(keyedRoutes("r2"), 2)
	return f
}

func keyedRoutes(version string) []byte {
	return platformtest.KeyedConfig(version, []string{"booking"},
		[]platformtest.Organisation{{Name: "clinic", Keys: []string{clinicKey}}, {Name: "hotel", Keys: []string{hotelKey}}},
		platformtest.Route{Host: host, Prefix: "/status/", Kind: platformtest.Idempotent, Service: "booking", Attempts: 2},
		platformtest.Route{Host: host, Prefix: "/open/", Kind: platformtest.Idempotent, Service: "booking", Attempts: 2, Anonymous: true},
	)
}

// configure puts a configuration in force on every node.
func (f *fleet) configure(config []byte, version int) {
	f.t.Helper()
	f.store.Put("op", "config", config)
	f.eventually("the configuration is in force everywhere", func() bool {
		for _, m := range f.nodes {
			if int(m.node.pub.table.Load().Version()) != version {
				return false
			}
		}
		return true
	})
}

// A backend server is told the name of the organisation that holds the key, whatever the
// caller says of itself, and never the key.
func TestBackendServerIsToldTheOrganisationAndNotTheKey(t *testing.T) {
	f := keyedFleet(t, 3)
	for range 6 { // own and other hosts, own and other zones
		resp, _ := f.do(f.nodes[0], "GET", "/status/x", "", "Authorization", "Bearer "+clinicKey, platformtest.HeaderOrganisation, "hotel")
		must.Eq(t, 200, resp.StatusCode)
	}
	must.Len(t, 6, f.seen())
	for _, seen := range f.seen() {
		must.Eq(t, []string{"clinic"}, seen.Headers.Values(platformtest.HeaderOrganisation))
		must.Eq(t, "", seen.Headers.Get("Authorization"))
	}
	for _, m := range f.nodes {
		must.False(t, strings.Contains(m.logs.String(), clinicKey))
	}
}

// Without a key that an organisation holds nothing runs, and the caller is told that its
// key is the reason.
func TestCallersWithoutAKnownKeyAreTurnedAway(t *testing.T) {
	f := keyedFleet(t, 1)
	for _, credentials := range []string{"", "Bearer", "Bearer ", "Bearer unknown", "Basic " + clinicKey, clinicKey} {
		resp, _ := f.do(f.nodes[0], "GET", "/status/x", "", "Authorization", credentials)
		must.Eq(t, 401, resp.StatusCode, must.Sprint(credentials))
	}
	must.Len(t, 0, f.seen())
}

// Calls that backend servers make carry no key: their routes are anonymous.
func TestAnonymousRouteNeedsNoKey(t *testing.T) {
	f := keyedFleet(t, 2)
	for _, credentials := range []string{"", "Bearer unknown"} {
		resp, _ := f.do(f.nodes[0], "GET", "/open/x", "", "Authorization", credentials, platformtest.HeaderOrganisation, "hotel")
		must.Eq(t, 200, resp.StatusCode)
	}
	for _, seen := range f.seen() {
		must.Eq(t, "", seen.Headers.Get(platformtest.HeaderOrganisation))
		must.Eq(t, "", seen.Headers.Get("Authorization"))
	}
}

// A key that a new version takes away or brings is so from that version on.
func TestKeysComeAndGoWithVersions(t *testing.T) {
	f := keyedFleet(t, 2)
	f.configure(platformtest.KeyedConfig("r3", []string{"booking"},
		[]platformtest.Organisation{{Name: "clinic", Keys: []string{"n3w"}}},
		platformtest.Route{Host: host, Prefix: "/status/", Kind: platformtest.Idempotent, Service: "booking"}), 3)
	for credentials, want := range map[string]int{"Bearer " + clinicKey: 401, "Bearer " + hotelKey: 401, "Bearer n3w": 200} {
		resp, _ := f.do(f.nodes[1], "GET", "/status/x", "", "Authorization", credentials)
		must.Eq(t, want, resp.StatusCode, must.Sprint(credentials))
	}
}

// A site whose configuration knows no organisations passes credentials on as they are.
func TestCredentialsPassWhereNoOrganisationsAreConfigured(t *testing.T) {
	f := newFleet(t, 2)
	resp, _ := f.do(f.nodes[0], "GET", "/status/x", "", "Authorization", "Bearer own", platformtest.HeaderOrganisation, "own")
	must.Eq(t, 200, resp.StatusCode)
	seen := f.seen()[0].Headers
	must.Eq(t, "Bearer own", seen.Get("Authorization"))
	must.Eq(t, "own", seen.Get(platformtest.HeaderOrganisation))
}

// A configuration in which two organisations hold one key is not used, and no log line
// holds the key.
func TestConfigurationWithADoubleKeyIsRefused(t *testing.T) {
	f := keyedFleet(t, 1)
	f.store.Put("op", "config", platformtest.KeyedConfig("r3", []string{"booking"},
		[]platformtest.Organisation{{Name: "clinic", Keys: []string{clinicKey}}, {Name: "hotel", Keys: []string{clinicKey}}},
		platformtest.Route{Host: host, Prefix: "/status/", Kind: platformtest.Idempotent, Service: "booking"}))
	f.eventually("the version is refused", func() bool {
		return strings.Contains(f.nodes[0].logs.String(), "config_refused")
	})
	must.Eq(t, 2, f.nodes[0].node.pub.table.Load().Version())
	must.False(t, strings.Contains(f.nodes[0].logs.String(), clinicKey))
}

// Guards against a repeat that goes out under the organisation that held the key when the request came.
func TestRepeatGoesOutUnderTheOrganisationThatHoldsTheKeyNow(t *testing.T) {
	f := keyedFleet(t, 2)
	moved := platformtest.KeyedConfig("r3", []string{"booking"},
		[]platformtest.Organisation{{Name: "clinic", Keys: []string{"an0th3r"}}, {Name: "hotel", Keys: []string{hotelKey, clinicKey}}},
		platformtest.Route{Host: host, Prefix: "/status/", Kind: platformtest.Idempotent, Service: "booking", Attempts: 2},
	)
	var runs atomic.Int32
	for _, m := range f.nodes {
		m.backend.Answer = func(w http.ResponseWriter, _ *http.Request) {
			if runs.Add(1) == 1 {
				f.configure(moved, 3)
				panic(http.ErrAbortHandler)
			}
			platformtest.Stamp(w)
		}
	}
	resp, _ := f.do(f.nodes[0], "GET", "/status/x", "", "Authorization", "Bearer "+clinicKey)
	must.Eq(t, 200, resp.StatusCode)
	var under []string
	for _, seen := range f.seen() {
		under = append(under, seen.Headers.Get(platformtest.HeaderOrganisation))
	}
	slices.Sort(under)
	must.Eq(t, []string{"clinic", "hotel"}, under)
}
