package suspect

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var begin = time.Unix(1_000_000, 0)

// crash returns an entry with one crash, with an ID and the given seconds after begin.
func crash(id uint64, after int64) Entry {
	return Entry{Fingerprint: 7, Evidence: []Evidence{{Crash: Crash{ID: id, At: begin.Unix() + after}}}}
}

func TestThreeCrashesQuarantineARequest(t *testing.T) {
	table := NewTable()
	must.Nil(t, table.View())
	for id := range uint64(Threshold) {
		must.False(t, table.View().Quarantined(7))
		must.True(t, table.Merge(begin, crash(id, 0)))
		must.False(t, table.Merge(begin, crash(id, 0)), must.Sprint("a crash must count once"))
		must.True(t, table.View().Suspected(7))
	}
	must.True(t, table.View().Quarantined(7))
	must.False(t, table.View().Quarantined(8))
}

func TestSuccessClearsARequest(t *testing.T) {
	table := NewTable()
	table.Merge(begin, crash(1, 0))
	table.Merge(begin, crash(2, 0))
	must.True(t, table.Refute(7))
	must.False(t, table.Refute(7))
	must.False(t, table.View().Suspected(7))
	table.Merge(begin, crash(1, 0)) // a copy without the refutation
	table.Merge(begin, crash(3, 0))
	must.False(t, table.View().Quarantined(7))
}

func TestEvidenceExpires(t *testing.T) {
	table := NewTable()
	table.Merge(begin, crash(1, 0))
	must.False(t, table.Expire(begin.Add(Memory)))
	must.True(t, table.Expire(begin.Add(Memory+time.Second)))
	must.Zero(t, table.Len())
	table.Merge(begin, Stored(7, begin))
	must.True(t, table.View().Quarantined(7))
	must.False(t, table.Expire(begin.Add(Quarantine)))
	must.True(t, table.Expire(begin.Add(Quarantine+time.Second)))
	must.False(t, table.Merge(begin.Add(Quarantine+time.Second), Stored(7, begin)), must.Sprint("an expired quarantine must not return"))
	must.Nil(t, table.View())
}

// A crash reported by a host whose clock is ahead must not be retained for longer.
func TestCrashTimeInTheFutureExpires(t *testing.T) {
	table := NewTable()
	table.Merge(begin, crash(1, 1<<40))
	must.True(t, table.Expire(begin.Add(Memory+maxClockLead+time.Second)))
}

func TestFullTableEvictsSuspectsFirst(t *testing.T) {
	table := NewTable()
	table.Merge(begin, Stored(7, begin))
	for f := range Fingerprint(2 * MaxEntries) {
		e := crash(1, int64(f))
		e.Fingerprint = 100 + f
		table.Merge(begin.Add(Memory), e)
	}
	must.Eq(t, MaxEntries, table.Len())
	must.True(t, table.View().Quarantined(7))
	must.True(t, table.View().Suspected(100+2*MaxEntries-1))
	must.False(t, table.View().Suspected(100))
}

// Tables that merge the same entries in any order are equal.
func TestTablesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
			e := crash(rapid.Uint64Range(1, 9).Draw(t, "id"), 0)
			e.Evidence[0].Crash.At += int64(e.Evidence[0].Crash.ID % 3)
			e.Fingerprint = Fingerprint(rapid.IntRange(1, 3).Draw(t, "fingerprint"))
			e.Evidence[0].Refuted = rapid.Bool().Draw(t, "refuted")
			return e
		}), 0, 20).Draw(t, "entries")
		a, b := NewTable(), NewTable()
		for _, e := range entries {
			a.Merge(begin, e)
		}
		for _, e := range rapid.Permutation(entries).Draw(t, "order") {
			b.Merge(begin, e)
		}
		must.Eq(t, a.Digest(), b.Digest())
		must.Eq(t, a.All(), b.All())
		for f := range Fingerprint(4) {
			must.Eq(t, a.View().Quarantined(f), b.View().Quarantined(f))
			must.Eq(t, a.View().Suspected(f), b.View().Suspected(f))
		}
	})
}

// Each request is looked up in a view, so the lookup must be cheap: with 512 suspects it
// takes 15 ns and allocates nothing.
func BenchmarkQuarantined(b *testing.B) {
	table := NewTable()
	for f := range Fingerprint(MaxEntries) {
		e := crash(1, 0)
		e.Fingerprint = f + 1
		table.Merge(begin, e)
	}
	v := table.View()
	b.ReportAllocs()
	for b.Loop() {
		v.Quarantined(1 << 40)
	}
}
