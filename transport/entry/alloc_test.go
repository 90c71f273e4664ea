package entry

import (
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// maxAllocs bounds the allocations of one whole call, with caller, entry proxy, gate
// and backend server in one process. A call makes 210, or 221 with the race detector;
// 70 of them belong to a direct call. The margin covers buffers that a garbage
// collection has removed from the pools. It stays below the 288 of http.Transport on
// both hops and a Waiter for each request.
const maxAllocs = 235

func TestCallAllocatesLittle(t *testing.T) {
	b := newTestBed()
	b.work = http.HandlerFunc(fixedResponse)
	b.start(t)
	r := b.request(t, "GET", "/rooms/1", "")
	allocs := testing.AllocsPerRun(300, func() {
		resp, err := b.client.Do(r)
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
	})
	must.LessEq(t, maxAllocs, allocs)
}
