package distribute

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// history keeps earlier versions in two forms: the deltas between the versions
// held one after the other, which are served to neighbours, and a few earlier
// snapshots, to which received deltas can be applied.
type history struct {
	steps   []*snapshot.Delta  // consecutive: steps[i].To == steps[i+1].From
	recent  []replacedSnapshot // newest last
	encoded map[uint64][]byte  // encoded deltas to the version held, by version of their base
	full    []byte             // the version held, encoded; nil until needed
}

// replacedSnapshot is a snapshot that was held earlier.
type replacedSnapshot struct {
	snapshot   *snapshot.Snapshot
	replacedAt time.Time
}

// recordSwap records that one held snapshot was replaced by the next.
func (h *history) recordSwap(now time.Time, cfg *Config, from, to *snapshot.Snapshot) {
	h.encoded = nil
	h.full = nil
	if from.Version() == 0 {
		return
	}
	h.steps = append(h.steps, snapshot.Diff(from, to))
	if n := len(h.steps) - cfg.KeepDeltas; n > 0 {
		h.steps = h.steps[n:]
	}
	h.recent = append(h.recent, replacedSnapshot{snapshot: from, replacedAt: now})
	if n := len(h.recent) - cfg.KeepSnapshots; n > 0 {
		h.recent = h.recent[n:]
	}
}

func (h *history) expire(now time.Time, keep time.Duration) {
	for len(h.recent) > 0 && now.Sub(h.recent[0].replacedAt) > keep {
		h.recent = h.recent[1:]
	}
}

// base returns the held or an earlier snapshot with the given reference, or
// nil.
func (h *history) base(held *snapshot.Snapshot, ref snapshot.Ref) *snapshot.Snapshot {
	if held.Ref() == ref {
		return held
	}
	for _, e := range h.recent {
		if e.snapshot.Ref() == ref {
			return e.snapshot
		}
	}
	return nil
}

// versions returns the versions of the earlier snapshots, newest first.
func (h *history) versions() []uint64 {
	var versions []uint64
	for i := len(h.recent) - 1; i >= 0; i-- {
		versions = append(versions, h.recent[i].snapshot.Version())
	}
	return versions
}

// deltaBase returns the reference of an earlier held version, or the zero Ref
// when no delta starts from it.
func (h *history) deltaBase(version uint64) snapshot.Ref {
	for _, s := range h.steps {
		if s.From.Version == version {
			return s.From
		}
	}
	return snapshot.Ref{}
}

// delta returns the encoded delta from a base to the version held, or nil when
// no delta from that base is kept. Consecutive deltas are merged into one.
func (h *history) delta(base snapshot.Ref) ([]byte, error) {
	if b := h.encoded[base.Version]; b != nil {
		return b, nil
	}
	for i, step := range h.steps {
		if step.From != base {
			continue
		}
		b, err := mergeSteps(h.steps[i:]).Encode()
		if err != nil {
			return nil, err
		}
		if h.encoded == nil {
			h.encoded = make(map[uint64][]byte)
		}
		h.encoded[base.Version] = b
		return b, nil
	}
	return nil, nil
}

// encodedFull returns the encoded version held.
func (h *history) encodedFull(held *snapshot.Snapshot) ([]byte, error) {
	if h.full != nil {
		return h.full, nil
	}
	b, err := held.Encode()
	h.full = b
	return b, err
}

// mergeSteps returns one delta with the same effect as the steps applied one
// after the other.
func mergeSteps(steps []*snapshot.Delta) *snapshot.Delta {
	if len(steps) == 1 {
		return steps[0]
	}
	contracts := newMergedChanges[snapshot.ContractEntry]()
	services := newMergedChanges[snapshot.ServiceEntry]()
	for _, s := range steps {
		contracts.add(s.PutContracts, s.DeleteContracts)
		services.add(s.PutServices, s.DeleteServices)
	}
	return &snapshot.Delta{
		From:            steps[0].From,
		To:              steps[len(steps)-1].To,
		PutContracts:    contracts.put,
		PutServices:     services.put,
		DeleteContracts: contracts.deleted(),
		DeleteServices:  services.deleted(),
	}
}
