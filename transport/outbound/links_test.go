package outbound

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// busyLinks stands in for gates whose hosts' links have a backlog, and records which of them
// were tried.
type busyLinks struct {
	backlog map[string]int // by instance, in milliseconds
	tried   []string       // instances, in the order of the attempts
	waits   []int          // longest accepted wait for the link at each attempt, in milliseconds
}

// RoundTrip implements http.RoundTripper.
func (b *busyLinks) RoundTrip(req *http.Request) (*http.Response, error) {
	id := req.Header.Get(outcome.HeaderInstance)
	wait, err := strconv.Atoi(req.Header.Get(outcome.HeaderLinkWait))
	if err != nil {
		return nil, err
	}
	b.tried = append(b.tried, id)
	b.waits = append(b.waits, wait)
	h := http.Header{outcome.HeaderOutcome: {string(outcome.Answered)}}
	status := http.StatusOK
	if b.backlog[id] > wait {
		status = http.StatusServiceUnavailable
		h = http.Header{
			outcome.HeaderOutcome: {string(outcome.NotRun)}, outcome.HeaderReason: {string(outcome.ReasonLinkFull)},
			outcome.HeaderLinkBacklog: {strconv.Itoa(b.backlog[id])},
		}
	}
	return &http.Response{StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: h, Body: http.NoBody}, nil
}

// Two hosts are tried for a link that is free soon; then the one with the smaller backlog is
// taken, although that exceeds the wait accepted at first.
func TestLargeResponseTakesTheLinkWithTheSmallerBacklog(t *testing.T) {
	links := &busyLinks{backlog: map[string]int{"i0": 290, "i1": 200, "i2": 250}}
	p := newProxy(t, model.KindBulk, 3, nil)
	p.cfg.Far = links
	must.Eq(t, http.StatusOK, get(p).Code)
	must.Eq(t, []int{150, 150, 300}, links.waits)
	first, second := links.tried[0], links.tried[1]
	must.NotEq(t, first, second)
	sooner := first
	if links.backlog[second] < links.backlog[first] {
		sooner = second
	}
	must.Eq(t, sooner, links.tried[2])
}

// A request whose response would be late over every link is refused at once, after trying at
// most four hosts.
func TestLargeResponseIsRefusedWhereNoLinkIsFreeInTime(t *testing.T) {
	links := &busyLinks{backlog: map[string]int{"i0": 900, "i1": 900, "i2": 900, "i3": 900, "i4": 900}}
	p := newProxy(t, model.KindBulk, 5, nil)
	p.cfg.Far = links
	w := get(p)
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.NotEq(t, "", w.Header().Get("Retry-After"))
	must.Len(t, 4, links.tried)
}

// Large responses are most expensive between zones: the link in the own zone is taken while it
// can be in time, even if farther ones are free.
func TestLargeResponseStaysInItsZone(t *testing.T) {
	links := &busyLinks{backlog: map[string]int{"i0": 250}}
	p := newProxy(t, model.KindBulk, 1, nil)
	records := endpoint.NewTable()
	for i, zone := range []model.Zone{"z", "z2", "z2"} {
		records.Put(endpoint.Record{
			Node: model.NodeID("n" + strconv.Itoa(i)), Zone: zone, Region: "r", Incarnation: 1, Sequence: 1,
			Service: "s", Slots: 4, Connections: 4, GateAddr: "127.0.0.1:1", Instance: "i" + strconv.Itoa(i),
		})
	}
	view := records.View()
	p.cfg.View = func() *endpoint.View { return view }
	p.cfg.Zone, p.cfg.Near, p.cfg.Far = "z", links, links
	must.Eq(t, http.StatusOK, get(p).Code)
	must.Eq(t, []string{"i0", "i0"}, links.tried)
	links.backlog["i0"], links.tried = 700, nil
	must.Eq(t, http.StatusOK, get(p).Code)
	must.Eq(t, 3, len(links.tried))
	must.NotEq(t, "i0", links.tried[2])
}
