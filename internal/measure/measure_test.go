package measure

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

func TestParseApplied(t *testing.T) {
	log := `time=2026-12-02T16:00:00.000000001Z level=info event=members_changed live=3
time=2026-12-02T16:00:01Z level=info event=version_applied version=1 hash=ab
time=2026-12-02T16:00:02.5Z level=info event=version_applied version=4 hash=cd
`
	all, err := parseApplied(strings.NewReader(log))
	must.NoError(t, err)
	must.Len(t, 2, all)
	first := time.Date(2026, 12, 2, 16, 0, 1, 0, time.UTC)
	at, ok := holds(all, 2, first)
	must.True(t, ok)
	must.Eq(t, first.Add(1500*time.Millisecond), at)
	_, ok = holds(all, 5, first)
	must.False(t, ok)
	_, ok = holds(all, 1, first.Add(time.Minute))
	must.False(t, ok)
	_, err = parseApplied(strings.NewReader("time=soon event=version_applied version=1\n"))
	must.True(t, errors.As(err, new(*FormatError)))
}

func TestParseStat(t *testing.T) {
	p, err := parseStat("7 (a) b) S 1 1 1 0 -1 4194560 100 0 0 0 150 50 0 0 20 0 9 0 100 1000 25 18446744073709551615\n")
	must.NoError(t, err)
	must.Eq(t, 2.0, p.CPU)
	must.Eq(t, float64(25*os.Getpagesize()), p.RSS)
	_, err = parseStat("7 (a) S 1")
	must.True(t, errors.As(err, new(*FormatError)))
}

func TestUse(t *testing.T) {
	text := metricSent + " 1000\n" + metricPackets + " 10\n" + metricKindPrefix + "delta\"} 400\nother 7\n"
	after, err := parseMetrics(strings.NewReader(text))
	must.NoError(t, err)
	after.CPU = 1
	now := time.Now()
	a := sample{at: now, nodes: map[model.NodeID]nodeSample{"x": {sent: 500}, "y": {sent: 5000}}}
	b := sample{at: now.Add(10 * time.Second), nodes: map[model.NodeID]nodeSample{"x": after, "y": after}}
	b.platform.Reads = 20
	u := use(a, b)
	// x sent 500 since the first sample; y restarted and sent 1,000 since.
	must.Eq(t, 750.0, u.Bytes)
	must.Eq(t, 1000.0, u.MaxBytes)
	must.Eq(t, 75.0, u.BytesPerSecond)
	must.Eq(t, 40.0, u.Kinds["delta"])
	must.Eq(t, 10.0, u.CPU)
	must.Eq(t, 2.0, u.Reads)
}

func TestTimes(t *testing.T) {
	var all []time.Duration
	for i := range 200 {
		all = append(all, time.Duration(200-i)*time.Millisecond)
	}
	must.Eq(t, Times{Count: 200, P50: 100, P99: 198, Max: 200}, times(all))
	must.Eq(t, Times{}, times(nil))
}

func TestLine(t *testing.T) {
	slope, constant := Figure{Points: []Point{exact(10, 25), exact(20, 45), exact(40, 85)}}.Line()
	must.InDelta(t, 2, slope, 1e-9)
	must.InDelta(t, 5, constant, 1e-9)
}

func TestPagesKeepWhatIsOutsideTheMarkers(t *testing.T) {
	dir := t.TempDir()
	page := filepath.Join(dir, "page.md")
	old := "before\n<!-- cores:begin -->\nold\n<!-- cores:end -->\nafter\n"
	must.NoError(t, os.WriteFile(page, []byte(old), filePermissions))
	r := NewReport("jacinthgate-measure cores")
	r.Cores = &Cores{Figures: []Figure{{Name: "size", Unit: "B", Of: "nodes", Points: []Point{exact(10, 25)}}}}
	must.NoError(t, r.Save(dir, "cores"))
	must.NoError(t, WritePages(dir, page))
	raw, err := os.ReadFile(page)
	must.NoError(t, err)
	must.StrContains(t, string(raw), "| size |")
	must.StrNotContains(t, string(raw), "old")
	must.StrHasPrefix(t, "before\n<!-- cores:begin -->\n", string(raw))
	must.StrHasSuffix(t, "<!-- cores:end -->\nafter\n", string(raw))
	must.NoError(t, r.Save(dir, "churn"))
	must.True(t, errors.As(WritePages(dir, page), new(*MarkerError)))
}

func TestReaderTakesInAllAcknowledgements(t *testing.T) {
	r, err := newReader(zoneSizes[0])
	must.NoError(t, err)
	for range 2 {
		sent, err := r.acknowledge()
		must.NoError(t, err)
		must.Positive(t, sent)
		zone := r.core.Status().Zones[0]
		must.True(t, zone.InForce(r.version))
		must.Eq(t, uint32(zoneSizes[0]), zone.Status.Live)
		must.NoError(t, r.accept())
	}
}

func TestMeasuredMemberHoldsTheFleet(t *testing.T) {
	c := newMember(700)
	must.Eq(t, 700, c.Table().Len())
	must.Len(t, 100, c.Live())
	size, err := joinBytes(c)
	must.NoError(t, err)
	must.Between(t, 700*60, size, 700*150)
}
