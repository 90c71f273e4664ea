// Package platform is an in-memory stand-in of the platform's table service
// and object store, with switches for its faults. It serves the platform's
// HTTP protocol and can be used directly in tests. It is no part of the
// product.
package platform

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/transport/platform"
)

// OpCount counts the calls of one operation.
type OpCount struct {
	// Calls is the number of calls, refused and lost ones included.
	Calls uint64 `json:"calls"`
	// Bytes is the number of bytes of values and objects, read or written.
	Bytes uint64 `json:"bytes"`
}

// Counters count what the stand-in was asked.
type Counters struct {
	// Reads is the number of read calls.
	Reads uint64 `json:"reads"`
	// Writes is the number of written items and objects.
	Writes uint64 `json:"writes"`
	// Refused is the number of calls refused by Down or a rate cap.
	Refused uint64 `json:"refused"`
	// Ops are the counts by operation.
	Ops map[string]OpCount `json:"ops"`
}

// Store holds items and objects in memory. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	injector injector
	items    map[string]platform.Item
	// last is the last revision given out. It is shared by all items, so
	// that a deleted item never gets an earlier revision again.
	last     uint64
	objects  map[string][]byte
	counters Counters
}

// New returns an empty store. The seed decides which calls are lost.
func New(f Faults, seed uint64) *Store {
	s := &Store{
		items:    make(map[string]platform.Item),
		objects:  make(map[string][]byte),
		counters: Counters{Ops: make(map[string]OpCount)},
	}
	s.injector.random = rand.New(rand.NewPCG(seed, seed))
	s.injector.set(f)
	return s
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.injector.set(f)
}

// Faults returns the faults as they are.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.injector.faults
}

// Counters returns the counters as they are.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.Ops = maps.Clone(c.Ops)
	return c
}

// begin counts a call and decides its fate. writes is 0 for a read.
func (s *Store) begin(op string, writes, size int) (verdict, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.injector.judge(writes)
	s.count(op, 1, size)
	switch {
	case v.down, v.throttled:
		s.counters.Refused++
	case writes == 0:
		s.counters.Reads++
	default:
		s.counters.Writes += uint64(writes)
	}
	return v, s.injector.faults.Delay.Std()
}

func (s *Store) count(op string, calls, size int) {
	c := s.counters.Ops[op]
	c.Calls += uint64(calls)
	c.Bytes += uint64(size)
	s.counters.Ops[op] = c
}

func (s *Store) get(key string) platform.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.item(key)
	s.count(opGet, 0, len(it.Value))
	return it
}

func (s *Store) item(key string) platform.Item {
	it, ok := s.items[key]
	if !ok {
		return platform.Item{Key: key}
	}
	it.Value = bytes.Clone(it.Value)
	return it
}

func (s *Store) list(prefix, after string, limit int) []platform.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := make([]platform.Item, 0)
	for _, key := range page(s.items, prefix, after, limit) {
		it := s.item(key)
		s.count(opList, 0, len(it.Value))
		items = append(items, it)
	}
	return items
}

func (s *Store) transact(writes []platform.Write) ([]uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		if it := s.item(w.Key); it.Revision != w.IfRevision {
			return nil, &platform.ConditionError{Key: w.Key, Current: it}
		}
	}
	revisions := make([]uint64, len(writes))
	for i, w := range writes {
		if w.Delete {
			delete(s.items, w.Key)
			continue
		}
		s.last++
		revisions[i] = s.last
		s.items[w.Key] = platform.Item{Key: w.Key, Value: bytes.Clone(w.Value), Revision: s.last}
	}
	return revisions, nil
}

func (s *Store) putObject(key string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[key] = bytes.Clone(body)
}

func (s *Store) getObject(key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[key]
	if !ok {
		return nil, &platform.NotFoundError{Key: key}
	}
	s.count(opObjectGet, 0, len(body))
	return bytes.Clone(body), nil
}

func (s *Store) listObjects(prefix, after string, limit int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return page(s.objects, prefix, after, limit)
}

func (s *Store) deleteObject(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, key)
}

// page returns at most limit keys with the prefix after the key after.
func page[V any](m map[string]V, prefix, after string, limit int) []string {
	keys := make([]string, 0)
	for key := range m {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys[:min(len(keys), max(limit, 0))]
}
