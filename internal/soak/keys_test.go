package soak

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// keyedHistory is a history in which a request with a key that holds was answered.
func keyedHistory() History {
	h := served()
	h.Keyed = true
	h.Accepted = []time.Time{at(-60_000), at(-50_000), at(-40_000)}
	h.Requests[0].Key = rotatingKey(2)
	h.Arrivals[0].Organisation = rotating
	return h
}

// flood adds so many runs of the organisation that floods, evenly over a time.
func (h *History) flood(runs int, over time.Duration) {
	for i := range runs {
		id := "f" + strconv.Itoa(i)
		sent := begin.Add(over * time.Duration(i) / time.Duration(runs))
		h.Requests = append(h.Requests, Request{ID: id, Method: "GET", Path: "/status/" + id, Service: "rooms", Idempotent: true, Key: floodKey, Sent: sent, Done: sent, Status: http.StatusBadGateway})
		h.Arrivals = append(h.Arrivals, Arrival{Server: "i-1", ID: id, Method: "GET", Path: "/status/" + id, Caller: "rooms", Organisation: flooding, At: sent.Add(time.Millisecond)})
	}
}

func TestChecksOfKeysCanFail(t *testing.T) {
	good := keyedHistory()
	good.flood(150, floodWindow)
	must.SliceEmpty(t, good.Violations())
	for name, c := range map[string]struct {
		check Check
		spoil func(h *History)
	}{
		"the key is passed on": {CheckKeys, func(h *History) { h.Arrivals[0].Credentials = "Bearer key-2" }},
		"another organisation": {CheckKeys, func(h *History) { h.Arrivals[0].Organisation = flooding }},
		"a key that is gone":   {CheckKeys, func(h *History) { h.Requests[0].Key = rotatingKey(1) }},
		"a key that holds is turned away": {CheckKeys, func(h *History) {
			h.Requests[0].Status, h.Requests[0].Stamped, h.Arrivals = http.StatusUnauthorized, false, nil
		}},
		"beyond the quota": {CheckQuota, func(h *History) { h.flood(160, floodWindow) }},
	} {
		t.Run(name, func(t *testing.T) {
			h := keyedHistory()
			c.spoil(&h)
			found := h.Violations()
			must.Len(t, 1, found)
			must.Eq(t, c.check, found[0].Check)
		})
	}
}
