package control

import (
	"context"
	"flag"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/accept"
	"github.com/jacinthgate/jacinthgate/platform/platformtest"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
	"github.com/jacinthgate/jacinthgate/state/store"
)

// TestMain fixes the seed of the random tests, so that each run gives the same
// result. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// hookedTable is a table whose Transact is replaced by a function.
type hookedTable struct {
	store.Table
	transact func(ctx context.Context, writes []store.Write) ([]uint64, error)
}

func (h *hookedTable) Transact(ctx context.Context, writes []store.Write) ([]uint64, error) {
	return h.transact(ctx, writes)
}

func newAccepter(s *platformtest.Store) *Accepter {
	return NewAccepter(testConfig(), s.Table(), s.Objects())
}

func mustApply(t *testing.T, a *Accepter, c accept.Change) accept.Accepted {
	t.Helper()
	got, err := a.Apply(t.Context(), c)
	must.NoError(t, err)
	return got
}

func TestRepeatTakesEffectOnce(t *testing.T) {
	s := platformtest.New(platformtest.Faults{}, 1)
	first := mustApply(t, newAccepter(s), put("a", "clinic", 1, 0))
	mustApply(t, newAccepter(s), put("b", "clinic", 2, 1))
	again := mustApply(t, newAccepter(s), put("a", "clinic", 1, 0))
	must.Eq(t, accept.Accepted{Ref: first.Ref, Repeated: true}, again)

	_, err := newAccepter(s).Apply(t.Context(), put("a", "clinic", 9, 2))
	var ie *accept.ChangeIDError
	must.True(t, errors.As(err, &ie))
	must.Eq(t, 1, ie.Version)
}

func TestOperatorsRace(t *testing.T) {
	tests := []struct {
		name          string
		organisations [2]string
		conflicts     int
	}{
		{"same contract", [2]string{"clinic", "clinic"}, 1},
		{"different contracts", [2]string{"clinic", "hall"}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := platformtest.New(platformtest.Faults{}, 1)
			// Each accepter waits with its first write until both have read the head.
			var headRead sync.WaitGroup
			headRead.Add(2)
			errs := make([]error, 2)
			var done sync.WaitGroup
			for i, organisation := range tc.organisations {
				a := newAccepter(s)
				once := sync.OnceFunc(func() { headRead.Done(); headRead.Wait() })
				a.table = &hookedTable{Table: s.Table(), transact: func(ctx context.Context, w []store.Write) ([]uint64, error) {
					once()
					return s.Table().Transact(ctx, w)
				}}
				done.Go(func() { _, errs[i] = a.Apply(t.Context(), put("id"+string(rune('a'+i)), organisation, i+1, 0)) })
			}
			done.Wait()
			conflicts := 0
			for _, err := range errs {
				var ce *accept.ConflictError
				if errors.As(err, &ce) {
					conflicts++
					must.Eq(t, accept.ConflictError{Document: "contract/clinic", Base: 0, Current: 1}, *ce)
					continue
				}
				must.NoError(t, err)
			}
			must.Eq(t, tc.conflicts, conflicts)
		})
	}
}

func TestChangesOfOneProcessDoNotRace(t *testing.T) {
	s := platformtest.New(platformtest.Faults{}, 1)
	a := newAccepter(s)
	var done sync.WaitGroup
	for i := range 8 {
		name := string(rune('a' + i))
		done.Go(func() { _, _ = a.Apply(t.Context(), put(name, name, 1, 0)) })
	}
	done.Wait()
	must.Eq(t, 8, s.Counters().Ops[platformtest.OpTransact].Calls) // no write failed on a conflict and was retried
	head, err := a.Head(t.Context())
	must.NoError(t, err)
	must.Eq(t, 8, head.Ref.Version)
}

func TestLostAnswersAreSettledByReading(t *testing.T) {
	s := platformtest.New(platformtest.Faults{LoseNextAnswers: 1}, 1) // the response to the write of the first object
	a := newAccepter(s)
	calls := 0
	a.table = &hookedTable{Table: s.Table(), transact: func(ctx context.Context, w []store.Write) ([]uint64, error) {
		calls++
		_, err := s.Table().Transact(ctx, w)
		must.NoError(t, err)
		return nil, &store.UnknownError{Op: "transact", Err: context.DeadlineExceeded}
	}}
	must.Eq(t, 1, mustApply(t, a, put("a", "clinic", 1, 0)).Ref.Version)
	must.Eq(t, 1, calls)
}

func TestOutageBeforeAnyWriteIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := platformtest.New(platformtest.Faults{Down: true}, 1)
		_, err := newAccepter(s).Apply(t.Context(), put("a", "clinic", 1, 0))
		var re *accept.RefusedError
		must.True(t, errors.As(err, &re))

		// If the change was sent before, an outage does not prove that it was
		// not accepted.
		c := put("a", "clinic", 1, 0)
		c.Resend = true
		_, err = newAccepter(s).Apply(t.Context(), c)
		var ue *accept.UnknownOutcomeError
		must.True(t, errors.As(err, &ue))
	})
}

// The platform becomes unavailable while the write of the head is in flight. The
// write takes effect late, or never, because a resend of the change invalidates
// its condition.
func TestOutageAfterTheHeadWriteIsUnknown(t *testing.T) {
	tests := []struct {
		name   string
		landed bool // whether the write takes effect before the resend
	}{
		{"landed", true},
		{"ended by the resend", false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := platformtest.New(platformtest.Faults{}, 1)
				mustApply(t, newAccepter(s), put("first", "clinic", 1, 0))
				var delayed []store.Write
				a := newAccepter(s)
				a.table = &hookedTable{Table: s.Table(), transact: func(_ context.Context, w []store.Write) ([]uint64, error) {
					if delayed != nil { // the retry fails before it is sent
						s.SetFaults(platformtest.Faults{Down: true})
						return nil, &store.UnavailableError{Op: "transact", Err: context.DeadlineExceeded}
					}
					delayed = w
					return nil, &store.UnknownError{Op: "transact", Err: context.DeadlineExceeded}
				}}
				_, err := a.Apply(t.Context(), put("a", "clinic", 2, 1))
				var ue *accept.UnknownOutcomeError
				must.True(t, errors.As(err, &ue))

				s.SetFaults(platformtest.Faults{})
				land := func() error {
					_, err := s.Table().Transact(t.Context(), delayed)
					return err
				}
				again := put("a", "clinic", 2, 0) // a stale base, which conflicts
				again.Resend = true
				if tc.landed {
					must.NoError(t, land())
					must.True(t, mustApply(t, newAccepter(s), again).Repeated)
					return
				}
				_, err = newAccepter(s).Apply(t.Context(), again)
				var ce *accept.ConflictError
				must.True(t, errors.As(err, &ce))
				must.Error(t, land()) // a reported conflict stays true
			})
		})
	}
}

func TestCancelledChangeIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		a := newAccepter(platformtest.New(platformtest.Faults{Down: true}, 1))
		_, err := a.Apply(ctx, put("a", "clinic", 1, 0))
		var re *accept.RefusedError
		must.True(t, errors.As(err, &re))
		must.ErrorIs(t, err, context.DeadlineExceeded)
	})
}

// grow commits n versions and returns the snapshots of all versions, indexed by
// version and beginning with the empty one.
func grow(t *testing.T, a *Accepter, n int) []*snapshot.Snapshot {
	t.Helper()
	all := []*snapshot.Snapshot{snapshot.Empty()}
	for i := range n {
		mustApply(t, a, put("c"+strconv.Itoa(i), "clinic", i+1, uint64(i)))
		all = append(all, a.Newest())
	}
	return all
}

func TestLoadVersion(t *testing.T) {
	const last = accept.RecentLength + 4
	tests := []struct {
		name    string
		held    int
		missing bool // whether the newest delta is missing
		reads   uint64
	}{
		{"held", last, false, 0},
		{"one delta", last - 1, false, 1},
		{"most deltas", last - accept.RecentLength, false, accept.RecentLength},
		{"too far behind", last - accept.RecentLength - 1, false, 1},
		{"nothing held", 0, false, 1},
		{"missing delta", last - 1, true, 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := platformtest.New(platformtest.Faults{}, 1)
			a := newAccepter(s)
			all := grow(t, a, last)
			head, err := a.Head(t.Context())
			must.NoError(t, err)
			if tc.missing {
				must.NoError(t, s.Objects().Delete(t.Context(), accept.DeltaKey(head.Ref)))
			}
			before := s.Counters().Ops[platformtest.OpGetObject].Calls
			got, err := a.LoadVersion(t.Context(), all[tc.held], head)
			must.NoError(t, err)
			must.Eq(t, head.Ref, got.Ref())
			must.Eq(t, tc.reads, s.Counters().Ops[platformtest.OpGetObject].Calls-before)
		})
	}
}

func TestLoadVersionRefusesOtherContent(t *testing.T) {
	s := platformtest.New(platformtest.Faults{}, 1)
	a := newAccepter(s)
	all := grow(t, a, 2)
	other, err := all[1].Encode()
	must.NoError(t, err)
	must.NoError(t, s.Objects().Put(t.Context(), accept.FullKey(all[2].Ref()), other))
	head, err := a.Head(t.Context())
	must.NoError(t, err)
	_, err = a.LoadVersion(t.Context(), snapshot.Empty(), head)
	var he *snapshot.HashError
	must.True(t, errors.As(err, &he))
}

func TestHistoryGoesBeyondTheHead(t *testing.T) {
	const last = accept.RecentLength + 4
	a := newAccepter(platformtest.New(platformtest.Faults{}, 1))
	grow(t, a, last)
	for _, limit := range []int{1, accept.RecentLength, last, last + 1} {
		entries, err := a.History(t.Context(), limit)
		must.NoError(t, err)
		must.Len(t, min(limit, last), entries)
		for i, e := range entries {
			must.Eq(t, uint64(last-i), e.Ref.Version)
		}
	}
}

func TestSweep(t *testing.T) {
	const last = 30
	s := platformtest.New(platformtest.Faults{}, 1)
	a := newAccepter(s)
	grow(t, a, last)
	cfg := DefaultCollectorConfig()
	cfg.Collect.KeepVersions = accept.RecentLength + 1
	cfg.Collect.KeepRecords = 20
	cfg.Page = 4
	must.NoError(t, s.Objects().Put(t.Context(), "config/full/other", nil)) // not an object of the configuration
	c := NewCollector(cfg, s.Table(), s.Objects())
	now := time.Unix(1e9, 0)
	got, err := c.Sweep(t.Context(), now)
	must.NoError(t, err)
	must.Eq(t, Swept{}, got) // no version has been observed for MinAge yet
	now = now.Add(cfg.Collect.MinAge)
	var all Swept
	for range 10 {
		got, err = c.Sweep(t.Context(), now)
		must.NoError(t, err)
		all.Objects += got.Objects
		all.Records += got.Records
	}
	must.Eq(t, Swept{Objects: 2 * (last - int(cfg.Collect.KeepVersions)), Records: last - 20}, all)
	keys, err := s.Objects().List(t.Context(), "config/full/", "", 100)
	must.NoError(t, err)
	must.Len(t, int(cfg.Collect.KeepVersions)+1, keys)
}
