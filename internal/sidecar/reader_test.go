package sidecar

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/docsync"
	"github.com/jacinthgate/jacinthgate/internal/eventqueue"
	"github.com/jacinthgate/jacinthgate/platform"
	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

// newTestReader returns a reader of a store that tells no era.
func newTestReader(t *testing.T) (*reader, *platformtest.Store) {
	stand := platformtest.NewStore()
	srv := httptest.NewServer(stand)
	t.Cleanup(srv.Close)
	store := platform.NewStore(platform.DefaultStoreConfig(srv.URL))
	t.Cleanup(store.Close)
	l := &loop{queue: eventqueue.New(maxEvents)}
	return newReader(platform.NewConfigs(store), l, log.NewNopLogger()), stand
}

// A whole read that finds no configuration proves nothing about the one that was read
// before.
func TestWholeReadWithoutAConfigurationTellsNoVersion(t *testing.T) {
	r, stand := newTestReader(t)
	empty := stand.Snapshot()
	stand.Put("op", "config", routes("r1"))
	must.Eq(t, 1, r.read(t.Context(), feedWait).proof.Version)
	stand.Restore(empty)
	must.Eq(t, 0, r.read(t.Context(), feedWait).proof.Version)
	stand.Put("op", "config", routes("r2"))
	must.Eq(t, 2, r.read(t.Context(), feedWait).proof.Version)
}

// The feed goes on after what a read has brought, so a read that ends as reading is turned
// off must not be lost.
func TestReadThatEndsAsReadingIsTurnedOffIsHandedOn(t *testing.T) {
	r, _ := newTestReader(t)
	for version := uint64(1); version <= 50; version++ { // either may be seen first
		done := make(chan reading, 1)
		done <- reading{StoreRead: docsync.StoreRead{Version: version}}
		r.set(false)
		must.False(t, r.await(t.Context(), func() {}, done))
		must.Eq(t, 1, len(r.loop.queue.Events))
		must.Eq(t, version, (<-r.loop.queue.Events).(docsync.StoreRead).Version)
	}
}

// Guards against a store that no longer answers and passes for one that refuses: only the former is read
// again at once.
func TestReadWithoutAnAnswerIsReportedAsSuch(t *testing.T) {
	silent, err := net.Listen("tcp", anyAddr) // nobody accepts
	must.NoError(t, err)
	defer silent.Close()
	store := platform.NewStore(platform.DefaultStoreConfig("http://" + silent.Addr().String()))
	defer store.Close()
	r := newReader(platform.NewConfigs(store), &loop{queue: eventqueue.New(maxEvents)}, log.NewNopLogger())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	result := r.read(ctx, 0)
	must.Error(t, result.Err)
	must.True(t, result.Unanswered)

	refusing, stand := newTestReader(t)
	stand.SetDown(true)
	result = refusing.read(t.Context(), 0)
	must.Error(t, result.Err)
	must.False(t, result.Unanswered)
}

// Guards against a whole read, which waits for nothing, that is given as long as a read that waits.
func TestOnlyReadsAfterTheFirstWaitForAChange(t *testing.T) {
	r, stand := newTestReader(t)
	stand.Put("op", "config", routes("r1"))
	must.Eq(t, 0, r.wait())
	must.NoError(t, r.read(t.Context(), 0).Err)
	must.Between(t, time.Millisecond, r.wait(), feedWait+feedMargin)
}

// Guards against reads that all wait for the same short time where the store doesn't tell its clock.
func TestReadsAreScheduledWithoutTheStoresClock(t *testing.T) {
	r, _ := newTestReader(t)
	must.Eq(t, 0, r.configs.Clock())
	before := r.clock()
	time.Sleep(time.Millisecond)
	must.Greater(t, before, r.clock())
}
