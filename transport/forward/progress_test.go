package forward

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a response that is cut at its deadline although it has begun and goes on.
func TestBegunResponseOutlivesItsDeadline(t *testing.T) {
	const deadline, extension = 600 * time.Millisecond, 400 * time.Millisecond
	for name, c := range map[string]struct {
		second time.Duration // when the second half comes
		whole  bool
	}{
		"20 ms late":    {deadline + 20*time.Millisecond, true},
		"200 ms late":   {deadline + 200*time.Millisecond, true},
		"1,000 ms late": {deadline + time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				p := NewProgress(t.Context(), start.Add(deadline), extension)
				defer p.End()
				body, feed := io.Pipe()
				context.AfterFunc(p, func() { _ = feed.CloseWithError(p.Err()) })
				sent := make(chan struct{})
				defer func() { <-sent }()
				go func() {
					defer close(sent)
					_, _ = io.WriteString(feed, "first")
					time.Sleep(c.second)
					_, _ = io.WriteString(feed, "second")
					_ = feed.Close()
				}()
				got, err := io.ReadAll(p.Body(body))
				if c.whole {
					must.NoError(t, err)
					must.Eq(t, "firstsecond", string(got))
					return
				}
				must.ErrorIs(t, err, context.DeadlineExceeded)
				must.Eq(t, deadline+extension, time.Since(start))
			})
		})
	}
}

// Guards against requests that are held past their deadline without a response that goes on.
func TestProgressEndsAtItsDeadlineWithoutOne(t *testing.T) {
	const deadline = 600 * time.Millisecond
	for name, begin := range map[string]func(p *Progress){
		"not begun":      func(*Progress) {},
		"begun and left": func(p *Progress) { _, _ = p.Body(io.NopCloser(nopReader{})).Read(nil) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				p := NewProgress(t.Context(), start.Add(deadline), time.Minute)
				defer p.End()
				begin(p)
				<-p.Done()
				must.ErrorIs(t, p.Err(), context.DeadlineExceeded)
				must.Eq(t, deadline, time.Since(start))
			})
		})
	}
}

// nopReader is a reader with nothing to read.
type nopReader struct{}

func (nopReader) Read([]byte) (int, error) { return 0, nil }

// Guards against work that goes on for a caller who has left.
func TestProgressEndsWithItsParent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parent, leave := context.WithCancel(t.Context())
		outer := NewProgress(parent, time.Now().Add(time.Second), time.Minute)
		defer outer.End()
		inner := NewProgress(outer, time.Now().Add(time.Second), time.Minute)
		defer inner.End()
		body, feed := io.Pipe()
		read := make(chan error, 1)
		context.AfterFunc(inner, func() { _ = feed.CloseWithError(inner.Err()) })
		go func() {
			_, err := inner.Body(body).Read(make([]byte, 1))
			read <- err
		}()
		time.Sleep(2 * time.Second) // past the deadline
		must.NoError(t, outer.Err())
		must.NoError(t, inner.Err())
		leave()
		must.ErrorIs(t, <-read, context.Canceled)
		must.ErrorIs(t, outer.Err(), context.Canceled)
	})
}

// Guards against a response that is lost because it was read whole only after its deadline.
func TestBegunResponseHasTimeToBeDeliveredAfterItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewBegunProgress(t.Context(), time.Now().Add(-time.Second), time.Minute)
		defer p.End()
		synctest.Wait()
		must.NoError(t, p.Err())
		time.Sleep(maxReadPause + progressInterval)
		synctest.Wait()
		must.ErrorIs(t, p.Err(), context.DeadlineExceeded, must.Sprint("nobody delivers it"))
	})
}
