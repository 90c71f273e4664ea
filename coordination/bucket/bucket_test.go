package bucket

import (
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/random"
)

var start = time.Unix(1000, 0)

func TestTakeRefillsAndReturnsTheWait(t *testing.T) {
	var b Bucket
	s := Size{PerSecond: 10, Burst: 2}
	for range 2 {
		ok, _ := b.Take(start, s, 0)
		must.True(t, ok)
	}
	ok, wait := b.Take(start, s, 0)
	must.False(t, ok)
	must.Eq(t, 100*time.Millisecond, wait)
	ok, _ = b.Take(start.Add(wait), s, 0)
	must.True(t, ok)
	b.Return(s)
	ok, _ = b.Take(start.Add(wait), s, 0)
	must.True(t, ok)
	b.Drain(start, s)
	ok, wait = b.Take(start, s, 0)
	must.False(t, ok)
	must.Eq(t, 100*time.Millisecond, wait)
	ok, _ = b.Take(start, Size{}, 0)
	must.False(t, ok)
}

// Many buckets with far less than one token each together admit what they hold, even if
// every caller retries continually.
func TestSmallBucketsAdmitTheirSum(t *testing.T) {
	rand := random.New(1)
	buckets := make([]Bucket, 1000)
	s := Size{PerSecond: 0.01, Burst: 0.02}
	admitted := 0
	for second := range 100 {
		for i := range buckets {
			ok, _ := buckets[i].Take(start.Add(time.Duration(second)*time.Second), s, rand.Float64())
			if ok {
				admitted++
			}
		}
	}
	want := 1000 * (0.02 + 0.01*99)
	must.Less(t, 0.1*want, math.Abs(float64(admitted)-want))
}

func TestTakeIsExactUnderRace(t *testing.T) {
	var b Bucket
	var admitted atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				if ok, _ := b.Take(start, Size{PerSecond: 1, Burst: 50}, 0); ok {
					admitted.Add(1)
				}
			}
		})
	}
	wg.Wait()
	must.Eq(t, 50, admitted.Load())
}
