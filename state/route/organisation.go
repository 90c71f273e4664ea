package route

import (
	"strconv"
	"strings"
	"unicode"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Organisation is a customer. Its callers authenticate their requests with one of its keys.
type Organisation struct {
	// Name identifies the organisation to backend servers, in logs and in metrics. It
	// is sent to backend servers in a header and therefore must not contain control
	// characters.
	Name string
	// Keys are the API keys that the organisation's callers may send. They are secret
	// and must not appear in logs or errors.
	Keys []string
	// Priority, if set, overrides the priority of the routes for the organisation's
	// requests; 0 is the most important.
	Priority *int
	// Quota limits the rate of the organisation's requests across the whole fleet; nil
	// means no limit.
	Quota *model.Rate
	// Regions are the regions in which the organisation's requests may be served;
	// empty allows all.
	Regions []model.Region
}

// RequiresKey reports whether callers must send a key on routes that aren't anonymous.
func (t *Table) RequiresKey() bool { return t.keyRequired }

// Organisation returns the organisation that owns the key, or nil if none does.
func (t *Table) Organisation(key string) *Organisation { return t.keys[key] }

// Organisations returns all organisations, keyed by name. The map must not be modified.
func (t *Table) Organisations() map[string]*Organisation { return t.organisations }

// Weight returns the weight of an organisation when scarce capacity is divided among
// organisations: its quota in requests per second. An organisation without a quota gets
// the largest quota of any organisation as its weight. If no organisation has a quota, all
// weights are equal.
func (t *Table) Weight(organisation string) float64 {
	if o := t.organisations[organisation]; o != nil && o.Quota != nil {
		return o.Quota.PerSecond
	}
	return max(1, t.largestQuota)
}

// addOrganisation validates an organisation and indexes it by its name and its keys.
func (t *Table) addOrganisation(o *Organisation) error {
	switch {
	case o.Name == "":
		return &OrganisationError{Reason: "the name is missing"}
	case strings.ContainsFunc(o.Name, unicode.IsControl):
		return &OrganisationError{Organisation: strconv.Quote(o.Name), Reason: "the name contains a control character"}
	case t.organisations[o.Name] != nil:
		return &OrganisationError{Organisation: o.Name, Reason: "another organisation has this name"}
	case o.Quota != nil && (o.Quota.PerSecond <= 0 || o.Quota.Burst < 1):
		return &OrganisationError{Organisation: o.Name, Reason: "the quota must be above 0"}
	}
	t.organisations[o.Name] = o
	if o.Quota != nil {
		t.largestQuota = max(t.largestQuota, o.Quota.PerSecond)
	}
	for _, key := range o.Keys {
		if key == "" {
			return &OrganisationError{Organisation: o.Name, Reason: "a key is empty"}
		}
		if owner := t.keys[key]; owner != nil && owner != o {
			return &OrganisationError{Organisation: o.Name, Reason: "it holds a key of organisation " + owner.Name}
		}
		t.keys[key] = o
	}
	return nil
}

// OrganisationError reports an invalid organisation. NewTable then rejects the whole
// configuration.
type OrganisationError struct {
	// Organisation is the name of the invalid organisation.
	Organisation string
	// Reason describes the fault. It must not contain a key.
	Reason string
}

// Error implements error.
func (e *OrganisationError) Error() string { return "organisation " + e.Organisation + ": " + e.Reason }
