package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthgate/jacinthgate/internal/sidecar"
	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

// In a plan with keys each version of the configuration brings a key of one organisation
// and takes one away: version n knows keys n-1 and n. Another organisation floods.
const (
	rotating = "rotating"
	flooding = "flooding"
	floodKey = "flood"
	// keyLife is the number of versions that know a key.
	keyLife = 2
	// revokeTime is how long after it was taken away a key may still be used.
	revokeTime = 5 * time.Second
	// staleEvery and floodEvery are how many requests there are to one with a key that was
	// taken away, and to one of the organisation that floods.
	staleEvery = 9
	floodEvery = 2
)

// Bounds on the organisation that floods, in requests and requests per second.
const (
	floodRate   = 20
	floodBurst  = 20
	floodWindow = 5 * time.Second
	floodOver   = 0.1
	floodSlack  = 20
)

// keySettings lets a node keep keys and quotas.
func keySettings(set *sidecar.Settings) {
	set.Revocation = sidecar.RevocationSettings{RefuseUnproved: true, Millis: int(revokeTime.Milliseconds())}
	set.Quota = sidecar.QuotaSettings{WindowSeconds: floodWindow.Seconds(), Over: floodOver, Slack: floodSlack}
}

// rotatingKey returns the key that a version brings.
func rotatingKey(version int) string { return fmt.Sprintf("key-%d", version) }

// organisations returns those of a version.
func organisations(version int) []platformtest.Organisation {
	var keys []string
	for n := max(1, version-keyLife+1); n <= version; n++ {
		keys = append(keys, rotatingKey(n))
	}
	return []platformtest.Organisation{
		{Name: rotating, Keys: keys},
		{Name: flooding, Keys: []string{floodKey}, PerSecond: floodRate, Burst: floodBurst},
	}
}

// keyFor returns the key that a caller shows with a request, where the newest version is
// given: one that holds, and now and then one that was taken away.
func keyFor(number, newest int) string {
	switch {
	case number%floodEvery == 0:
		return floodKey
	case number%staleEvery == 0 && newest > keyLife:
		return rotatingKey(newest - keyLife)
	}
	return rotatingKey(max(1, newest-1)) // also where the newest is not in force yet
}

// holder returns the organisation that a key is or was of.
func holder(key string) string {
	if key == floodKey {
		return flooding
	}
	return rotating
}

// brought returns the version that brought a rotating key.
func brought(key string) (int, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, "key-"))
	return n, err == nil
}

// takenAway returns when a key was taken away; false where it holds.
func (h *History) takenAway(key string) (time.Time, bool) {
	n, rotates := brought(key)
	if !rotates || n+keyLife > len(h.Accepted) {
		return time.Time{}, false
	}
	return h.Accepted[n+keyLife-1], true
}

// checkKeys checks what backend servers were told of the keys, whose requests ran, and
// whom nodes turned away.
func (h *History) checkKeys(found *report) {
	if !h.Keyed {
		return
	}
	sent := make(map[string]*Request, len(h.Requests))
	for i := range h.Requests {
		r := &h.Requests[i]
		sent[r.ID] = r
		if r.Status == http.StatusUnauthorized && r.Key != "" && h.held(r) {
			found.add(CheckKeys, "%s was turned away with key %s, which holds", r.ID, r.Key)
		}
	}
	var flood []Arrival
	for _, a := range h.Arrivals {
		r := sent[a.ID]
		if a.Credentials != "" {
			found.add(CheckKeys, "%s got the key of %s", a.Server, a.ID)
		}
		if r == nil || r.Key == "" {
			continue
		}
		if a.Organisation != holder(r.Key) {
			found.add(CheckKeys, "%s was told that %s is of %q", a.Server, a.ID, a.Organisation)
		}
		if at, gone := h.takenAway(r.Key); gone && !a.Refused && r.Sent.After(at.Add(revokeTime)) {
			found.add(CheckKeys, "%s ran %s, sent %v after its key was taken away", a.Server, a.ID, r.Sent.Sub(at))
		}
		if r.Key == floodKey && !a.Refused {
			a.Sent = r.Sent
			flood = append(flood, a)
		}
	}
	checkQuota(flood, found)
}

// held reports whether a key was known to every node as the request was sent and answered.
func (h *History) held(r *Request) bool {
	n, rotates := brought(r.Key)
	if rotates && (n > len(h.Accepted) || r.Sent.Sub(h.Accepted[n-1]) < inForce || h.disturbedAt(r) || h.storeDisturbedAt(r)) {
		return false
	}
	at, gone := h.takenAway(r.Key)
	return !gone || r.Done.Before(at)
}

// checkQuota checks that no window has more runs than the quota allows.
func checkQuota(runs []Arrival, found *report) {
	slices.SortFunc(runs, func(a, b Arrival) int { return a.At.Compare(b.At) })
	most := (floodRate*floodWindow.Seconds()+floodBurst)*(1+floodOver) + floodSlack
	for i := range runs {
		inside := 0
		from := runs[i].At.Add(-floodWindow)
		for j := i; j >= 0 && runs[j].At.After(from); j-- {
			if runs[j].Sent.After(from) {
				inside++
			}
		}
		if float64(inside) > most {
			found.add(CheckQuota, "%d runs of %s in the window that ends with %s, %v are allowed", inside, flooding, runs[i].ID, most)
			return
		}
	}
}
