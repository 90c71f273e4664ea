package soak

import (
	"context"
	"net/http"
	"slices"
	"time"
)

// The rows in which nodes tell where they are.
const (
	nodeTable = "nodes"
	nodeRows  = "addr/"
)

// restore lets the store go back to a copy: one of now, some seconds later, or one from
// before the first node started, as what nodes write of themselves is mostly old. The
// operator writes the newest version again; what nodes had written is noted.
func (s *soak) restore(ctx context.Context, step Step) {
	old := s.site.empty
	if step.Node%2 == 1 {
		old = s.site.store.Snapshot()
	}
	wait(ctx, step.For)
	s.mu.Lock()
	s.lost = append(s.lost, s.site.store.Keys(nodeTable, nodeRows)...)
	s.mu.Unlock()
	s.site.store.Restore(old)
	s.versions.writeAgain()
}

// checkRows waits until the store holds again what nodes had written before a restore.
func (s *soak) checkRows(ctx context.Context, bound time.Duration) {
	deadline := time.Now().Add(bound)
	for {
		held := s.site.store.Keys(nodeTable, nodeRows)
		gone := slices.DeleteFunc(slices.Clone(s.lost), func(key string) bool { return slices.Contains(held, key) })
		switch {
		case len(gone) == 0, ctx.Err() != nil:
			return
		case time.Now().After(deadline):
			s.add(CheckRows, "the store has lost %v for %v", slices.Compact(gone), bound)
			return
		}
		time.Sleep(askEvery)
	}
}

// checkLast writes one more version after the last disturbance and waits until each node
// has it.
func (s *soak) checkLast(ctx context.Context, bound time.Duration) {
	s.versions.change()
	version, accepted := s.versions.newest()
	for _, n := range s.site.nodes {
		for s.callers.send(n.caller(true), n, versionRoute(version)).Status != http.StatusOK {
			if ctx.Err() != nil {
				return
			}
			if time.Since(accepted) > bound {
				s.add(CheckVersion, "%s doesn't have version %d, %v after it", n.name, version, bound)
				break
			}
			time.Sleep(askEvery)
		}
	}
}
