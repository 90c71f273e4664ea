package pace

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var begin = time.Unix(1_000_000, 0)

// newTestShaper returns a shaper of 1 MB/s, on which a response of the initial mean size
// takes 100 ms.
func newTestShaper() *Shaper {
	return New(Config{BytesPerSecond: 1e6, InitialSize: 1e5, SizeGain: 0.5})
}

// sendAll sends all unsent bytes of a reservation and returns when the last piece may be
// sent.
func sendAll(r *Reservation, now time.Time) time.Time {
	for r.left > 0 {
		now = now.Add(r.Piece(now, int(min(r.left, 1e4))))
	}
	return now
}

func TestNoMoreIsAdmittedThanCanBeSentInTime(t *testing.T) {
	s := newTestShaper() // a response takes 100 ms
	var reservations []*Reservation
	for range 10 {
		if reservation, _, ok := s.Reserve(begin, 150*time.Millisecond); ok {
			reservations = append(reservations, reservation)
		}
	}
	must.Len(t, 2, reservations)
	sent := sendAll(reservations[0], begin)
	must.Eq(t, 90*time.Millisecond, sent.Sub(begin))
	_, _, ok := s.Reserve(sent, 150*time.Millisecond)
	must.True(t, ok, must.Sprint("sent bytes should no longer count"))
}

func TestReservationFollowsTheRealSize(t *testing.T) {
	s := newTestShaper()
	a, _, ok := s.Reserve(begin, 0)
	must.True(t, ok)
	a.SetSize(3e5)
	_, _, ok = s.Reserve(begin, 299*time.Millisecond)
	must.False(t, ok)
	_, _, ok = s.Reserve(begin, 300*time.Millisecond)
	must.True(t, ok)
	must.Eq(t, 2e5, s.meanSize, must.Sprint("the mean of 1e5 and 3e5"))
}

// Small responses are sent at once. The link capacity that they use isn't available to large
// ones.
func TestSmallResponsesDelayLargeOnes(t *testing.T) {
	s := newTestShaper()
	s.CountSmall(begin, 5e4)
	a, _, ok := s.Reserve(begin, 50*time.Millisecond)
	must.True(t, ok)
	must.Eq(t, 50*time.Millisecond, a.Piece(begin, 1e4))
	_, _, ok = s.Reserve(begin, 140*time.Millisecond)
	must.False(t, ok, must.Sprint("50 ms of small responses and 90 ms of the large one are pending"))
	// Idle time does not accumulate as a burst.
	later := begin.Add(time.Hour)
	s.CountSmall(later, 1e4)
	must.Eq(t, 10*time.Millisecond, a.Piece(later, 1e4))
}

func TestDoneReleasesTheUnsentPart(t *testing.T) {
	s := newTestShaper()
	a, _, _ := s.Reserve(begin, 0)
	a.Piece(begin, 1e4)
	a.Done()
	a.Done()
	must.Eq(t, 0, s.pending)
}

func TestPiecesKeepToTheRate(t *testing.T) {
	s := newTestShaper()
	a, _, _ := s.Reserve(begin, 0)
	a.SetSize(1e6)
	end := sendAll(a, begin)
	must.Eq(t, 990*time.Millisecond, end.Sub(begin), must.Sprint("99 pieces of 10 ms before the last"))
	end = end.Add(time.Second)
	b, _, ok := s.Reserve(end, 0)
	must.True(t, ok)
	must.Eq(t, 0, b.Piece(end, 1e4), must.Sprint("an idle shaper should send at once"))
}

func TestFastLinksAdmitMany(t *testing.T) {
	s := New(DefaultConfig(1e9))
	for range 20 {
		_, _, ok := s.Reserve(begin, 50*time.Millisecond)
		must.True(t, ok)
	}
}

// Small responses are sent first, so large ones wait for longer than their own bytes take.
func TestBacklogCountsExpectedSmallResponses(t *testing.T) {
	s := newTestShaper()
	now := begin
	for range 500 { // 300 KB/s of the link's 1 MB/s
		s.CountSmall(now, 3e3)
		now = now.Add(10 * time.Millisecond)
	}
	_, _, ok := s.Reserve(now, 0)
	must.True(t, ok)
	must.InDelta(t, 0.143, s.Backlog(now).Seconds(), 0.002)
	must.InDelta(t, 0.1, s.Backlog(now.Add(10*time.Second)).Seconds(), 0.002)
}
