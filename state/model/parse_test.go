package model

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const validContract = `{
 "organisation": "clinic", "hosts": ["clinic.example"], "handledBy": "mesh",
 "rate": {"perSecond": 50, "burst": 100}, "concurrency": 20, "weight": 10,
 "classes": [
  {"name": "screens", "kind": "interactive", "reserve": 8, "weight": 5, "deadline": "2s", "repeatable": true,
   "retryBudget": {"ratio": 0.1, "minPerSecond": 1}},
  {"name": "bookings", "kind": "non-repeatable", "concurrency": 12, "reserve": 12, "weight": 9, "deadline": "5s", "repeatable": false}
 ],
 "routes": [
  {"name": "book", "methods": ["POST"], "pathPrefix": "/rooms", "service": "foglalas", "class": "bookings"},
  {"name": "rest", "pathPrefix": "/", "service": "foglalas", "class": "screens", "handledBy": "older"}
 ]}`

const validService = `{"name": "foglalas", "slowStart": "10s", "probePath": "/healthz", "probeInterval": "2s",
 "olderSlots": 2, "maxEjected": 0.4, "queueLength": 40}`

func TestParseContractAcceptsValid(t *testing.T) {
	c, err := ParseContract([]byte(validContract))
	must.NoError(t, err)
	must.Eq(t, "clinic", c.Organisation)
	must.Eq(t, Duration(2*time.Second), c.Classes[0].Deadline)
	older := `{"organisation": "hall", "hosts": ["10.0.0.1"], "handledBy": "older", "rate": {"perSecond": 1, "burst": 1},
	 "concurrency": 1, "weight": 1, "classes": [], "routes": []}`
	_, err = ParseContract([]byte(older))
	must.NoError(t, err)
}

func TestParseContractRejectsInvalid(t *testing.T) {
	const name = allowedName
	cases := []struct{ old, new, want string }{
		{`"clinic",`, `"Clinic",`, `organisation: found "Clinic", allowed: ` + name},
		{`"clinic",`, `"` + strings.Repeat("a", 64) + `",`, `organisation: found "` + strings.Repeat("a", 64) + `", allowed: ` + name},
		{`"clinic",`, `"-a",`, `organisation: found "-a", allowed: ` + name},
		{`["clinic.example"]`, `[]`, `hosts: found no host, allowed: 1 to 64 hosts`},
		{`clinic.example`, `Clinic.example`, `hosts[0]: found "Clinic.example", allowed: ` + allowedHost},
		{`clinic.example`, `a.example:80`, `hosts[0]: found "a.example:80", allowed: ` + allowedHost},
		{`clinic.example`, `a..example`, `hosts[0]: found "a..example", allowed: ` + allowedHost},
		{`clinic.example`, `a-.example`, `hosts[0]: found "a-.example", allowed: ` + allowedHost},
		{`["clinic.example"]`, `["a", "a"]`, `hosts[1]: found "a", allowed: ` + allowedUnique},
		{`"mesh"`, `"Mesh"`, `handledBy: found "Mesh", allowed: mesh, older`},
		{`"older"`, `"old"`, `routes[1].handledBy: found "old", allowed: mesh, older`},
		{`50,`, `0,`, `rate.perSecond: found 0, allowed: more than 0, at most 10000000`},
		{`50,`, `1e8,`, `rate.perSecond: found 1e+08, allowed: more than 0, at most 10000000`},
		{`"burst": 100`, `"burst": 0`, `rate.burst: found 0, allowed: 1 to 10000000`},
		{`"concurrency": 20`, `"concurrency": 0`, `concurrency: found 0, allowed: 1 to 10000000`},
		{`"concurrency": 20`, `"concurrency": 19`, `classes: found reserves of 20 in all, allowed: at most the organisation's concurrency, 19`},
		{`"concurrency": 12`, `"concurrency": 21`, `classes[1].concurrency: found 21, allowed: at most the organisation's concurrency, 20`},
		{`"concurrency": 12`, `"concurrency": 11`, `classes[1].reserve: found 12, allowed: at most the class's concurrency, 11`},
		{`"reserve": 8`, `"reserve": -1`, `classes[0].reserve: found -1, allowed: 0 to 10000000`},
		{`"weight": 10,`, `"weight": 1001,`, `weight: found 1001, allowed: 1 to 1000`},
		{`"weight": 5`, `"weight": 0`, `classes[0].weight: found 0, allowed: 1 to 1000`},
		{`"interactive"`, `"urgent"`, `classes[0].kind: found "urgent", allowed: non-repeatable, interactive, bulk, eventual`},
		{`"interactive"`, `"interactive", "rate": {"perSecond": 1, "burst": 0}`, `classes[0].rate.burst: found 0, allowed: 1 to 10000000`},
		{`"2s"`, `"500us"`, `classes[0].deadline: found 500µs, allowed: 1ms to 1h0m0s`},
		{`"2s"`, `"61m"`, `classes[0].deadline: found 1h1m0s, allowed: 1ms to 1h0m0s`},
		{`"2s"`, `"0"`, `classes[0].deadline: found "0", allowed: a string with a unit, such as "250ms"`},
		{`"2s"`, `2`, `classes[0].deadline: found 2, allowed: a string with a unit, such as "250ms"`},
		{`false`, `true`, `classes[1].repeatable: found true, allowed: false for a class of kind non-repeatable`},
		{`, "repeatable": false`, ``, `classes[1].repeatable: found nothing, allowed: a value, which must be given`},
		{`0.1,`, `1.1,`, `classes[0].retryBudget.ratio: found 1.1, allowed: 0 to 1`},
		{`"minPerSecond": 1`, `"minPerSecond": -1`, `classes[0].retryBudget.minPerSecond: found -1, allowed: 0 to 1000`},
		{`"name": "rest"`, `"name": "book"`, `routes[1].name: found "book", allowed: ` + allowedUnique},
		{`"POST"`, `"post"`, `routes[0].methods[0]: found "post", allowed: GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS`},
		{`["POST"]`, `["POST", "POST"]`, `routes[0].methods[1]: found "POST", allowed: ` + allowedUnique},
		{`"/rooms"`, `"rooms"`, `routes[0].pathPrefix: found "rooms", allowed: ` + allowedPath},
		{`"/rooms"`, `"/a//b"`, `routes[0].pathPrefix: found "/a//b", allowed: ` + allowedPath},
		{`"/rooms"`, `"/a/../b"`, `routes[0].pathPrefix: found "/a/../b", allowed: ` + allowedPath},
		{`"/rooms"`, `"/%61"`, `routes[0].pathPrefix: found "/%61", allowed: ` + allowedPath},
		{`"class": "screens"`, `"class": "screen"`, `routes[1].class: found "screen", allowed: the name of a class of this contract`},
		{`"service": "foglalas", "class": "bookings"`, `"service": "", "class": "bookings"`, `routes[0].service: found "", allowed: ` + name},
	}
	for _, c := range cases {
		t.Run(c.new, func(t *testing.T) {
			must.StrContains(t, validContract, c.old)
			_, err := ParseContract([]byte(strings.Replace(validContract, c.old, c.new, 1)))
			must.EqError(t, err, c.want)
		})
	}
}

func TestValidateRejectsNaN(t *testing.T) {
	c, err := ParseContract([]byte(validContract))
	must.NoError(t, err)
	c.Rate.PerSecond = math.NaN()
	c.Classes[0].RetryBudget.Ratio = math.NaN()
	must.EqError(t, c.Validate(), "rate.perSecond: found NaN, allowed: more than 0, at most 10000000\n"+
		"classes[0].retryBudget.ratio: found NaN, allowed: 0 to 1")
}

func TestValidateBoundsCounts(t *testing.T) {
	c, err := ParseContract([]byte(validContract))
	must.NoError(t, err)
	c.Hosts = make([]string, MaxHosts+1)
	c.Classes = make([]Class, MaxClasses+1)
	c.Routes = make([]Route, MaxRoutes+1)
	for _, want := range []string{"hosts: found 65 elements", "classes: found 17 elements"} {
		must.StrContains(t, c.Validate().Error(), want)
	}
	c.Hosts, c.Classes = nil, nil
	must.StrContains(t, c.Validate().Error(), "routes: found 257 elements")
}

func TestParseServiceRejectsInvalid(t *testing.T) {
	cases := []struct{ old, new, want string }{
		{`"10s"`, `"11m"`, `slowStart: found 11m0s, allowed: 0s to 10m0s`},
		{`"/healthz"`, `"healthz"`, `probePath: found "healthz", allowed: ` + allowedPath},
		{`"probePath": "/healthz",`, ``, `probePath: found nothing, allowed: a path, where probeInterval is given`},
		{`"probeInterval": "2s",`, ``, `probeInterval: found 0s, allowed: 100ms to 10m0s`},
		{`"olderSlots": 2`, `"olderSlots": -1`, `olderSlots: found -1, allowed: 0 to 10000`},
		{`0.4`, `0.95`, `maxEjected: found 0.95, allowed: 0 to 0.9`},
		{`40`, `10001`, `queueLength: found 10001, allowed: 0 to 10000`},
	}
	for _, c := range cases {
		_, err := ParseService([]byte(strings.Replace(validService, c.old, c.new, 1)))
		must.EqError(t, err, c.want)
	}
}

func TestParseDocument(t *testing.T) {
	b, err := ParseDocument([]byte(validContract))
	must.NoError(t, err)
	must.Eq(t, "clinic", b.Contracts[0].Organisation)
	b, err = ParseDocument([]byte(validService))
	must.NoError(t, err)
	must.Eq(t, "foglalas", b.Services[0].Name)
	b, err = ParseDocument([]byte(`{"contracts": [` + validContract + `], "deleteServices": ["kiosztas"]}`))
	must.NoError(t, err)
	must.Len(t, 1, b.Contracts)
	must.Eq(t, []string{"kiosztas"}, b.DeleteServices)
}

func TestParseBatchRejectsInvalid(t *testing.T) {
	hall := strings.Replace(validContract, `"clinic",`, `"hall",`, 1)
	cases := []struct{ doc, want string }{
		{`{}`, "document: found no change, allowed: at least one contract, service or deletion"},
		{`{"contracts": [null]}`, "contracts[0]: found null, allowed: a value, or no such key"},
		{`{"contracts": [` + validContract + `], "deleteContracts": ["clinic"]}`, `deleteContracts[0]: found "clinic", allowed: ` + allowedUnique},
		{`{"contracts": [` + validContract + `,` + hall + `]}`, `contracts[1].hosts[0]: found "clinic.example", allowed: a host that clinic doesn't claim`},
		{`{"services": [` + validService + `,` + validService + `]}`, `services[1].name: found "foglalas", allowed: ` + allowedUnique},
		{`{"services": [` + strings.Replace(validService, "0.4", "2", 1) + `]}`, `services[0].maxEjected: found 2, allowed: 0 to 0.9`},
	}
	for _, c := range cases {
		_, err := ParseDocument([]byte(c.doc))
		must.EqError(t, err, c.want)
	}
}

func FuzzParseContract(f *testing.F) {
	f.Add([]byte(validContract))
	f.Add([]byte(validService))
	f.Add([]byte(`{"contracts": [` + validContract + `], "services": [{}], "deleteContracts": [""]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if c, err := ParseContract(b); err == nil {
			must.NoError(t, c.Validate())
		}
		if batch, err := ParseDocument(b); err == nil {
			must.NoError(t, batch.Validate())
		}
	})
}
