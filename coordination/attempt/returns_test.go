package attempt

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestRetryOfARefusedRequestIsRecognised(t *testing.T) {
	r := NewRefusalHistory()
	at := time.Unix(1_000_000, 0)
	deadline := at.Add(5 * time.Second)
	r.Record(7, at, deadline)
	first, found := r.FirstAttempt(7, deadline.Add(20*time.Millisecond))
	must.True(t, found)
	must.Eq(t, at, first)
	_, found = r.FirstAttempt(7, deadline.Add(time.Second))
	must.False(t, found, must.Sprint("another caller with the same request"))
	_, found = r.FirstAttempt(8, deadline)
	must.False(t, found, must.Sprint("another request of the same caller"))
}

func TestRefusalHistoryIsBounded(t *testing.T) {
	r := NewRefusalHistory()
	at := time.Unix(1_000_000, 0)
	for i := range 3 * maxRefusals {
		r.Record(uint64(1+i%500), at, at.Add(time.Duration(i)*time.Second))
	}
	must.Len(t, maxRefusals, r.order)
	recorded := 0
	for _, all := range r.refused {
		recorded += len(all)
	}
	must.Eq(t, maxRefusals, recorded)
	r.Record(0, at, at)
	_, found := r.FirstAttempt(0, at)
	must.False(t, found)
}
