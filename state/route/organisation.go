package route

import (
	"strconv"
	"strings"
	"unicode"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Organisation is a firm whose callers show a key with their requests.
type Organisation struct {
	// Name identifies the organisation towards backend servers, in logs and in
	// metrics. It is passed on in a header, so that it holds no control character.
	Name string
	// Keys are the keys that its callers may show. They are secret: no log line and
	// no error holds one.
	Keys []string
	// Priority ranks the organisation's requests in place of their routes' where it
	// is given; 0 is the most important.
	Priority *int
	// Quota bounds the organisation's requests over the whole fleet; nil is no bound.
	Quota *model.Rate
	// Regions are the regions in which its requests may be served; empty allows all.
	Regions []model.Region
}

// Keyed reports whether callers have to show a key on routes that aren't anonymous.
func (t *Table) Keyed() bool { return t.keyed }

// Organisation returns the organisation that holds a key; nil where none does.
func (t *Table) Organisation(key string) *Organisation { return t.keys[key] }

// Organisations returns all organisations, by name. The map must not be changed.
func (t *Table) Organisations() map[string]*Organisation { return t.organisations }

// Weight returns the weight by which an organisation shares what is short: its quota, in
// requests per second. One without a quota weighs as much as the largest that has one, and
// all weigh the same where none has.
func (t *Table) Weight(organisation string) float64 {
	if o := t.organisations[organisation]; o != nil && o.Quota != nil {
		return o.Quota.PerSecond
	}
	return max(1, t.largestQuota)
}

// addOrganisation indexes an organisation by its name and its keys.
func (t *Table) addOrganisation(o *Organisation) error {
	switch {
	case o.Name == "":
		return &OrganisationError{Reason: "the name is missing"}
	case strings.ContainsFunc(o.Name, unicode.IsControl):
		return &OrganisationError{Organisation: strconv.Quote(o.Name), Reason: "the name holds a control character"}
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
		if holder := t.keys[key]; holder != nil && holder != o {
			return &OrganisationError{Organisation: o.Name, Reason: "it holds a key of organisation " + holder.Name}
		}
		t.keys[key] = o
	}
	return nil
}

// OrganisationError reports an organisation of a configuration that can't be used.
type OrganisationError struct {
	// Organisation is the name of the faulty organisation.
	Organisation string
	// Reason says what is wrong. It holds no key.
	Reason string
}

// Error implements error.
func (e *OrganisationError) Error() string { return "organisation " + e.Organisation + ": " + e.Reason }
