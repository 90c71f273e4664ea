package fleet

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Each zone of a deployment must have a server of every service.
func TestKaloKitHasItsSizes(t *testing.T) {
	count := make(map[string]int)
	zones := make(map[string]map[model.Zone]bool)
	for _, h := range KaloKit() {
		count[h.Service]++
		if zones[h.Service] == nil {
			zones[h.Service] = make(map[model.Zone]bool)
		}
		zones[h.Service][h.Zone] = true
	}
	must.Eq(t, map[string]int{"order-desk": 9, "artwork-store": 3}, count)
	must.Eq(t, 3, len(zones["order-desk"]))
	must.Eq(t, 3, len(zones["artwork-store"]))
}
