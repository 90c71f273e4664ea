package balance

import "sync/atomic"

const (
	// fastSetSize is the capacity of a fastSet.
	fastSetSize = 8
	// fastMinTier is the default of Config.FastMinTier.
	fastMinTier = 8 * fastSetSize
	// fastSetDraws of totalDraws second draws choose among the recently fast servers; the
	// others choose among all servers.
	fastSetDraws = 3
	totalDraws   = 4
)

// fastSet is a bounded set of members of one tier that have recently responded faster than
// the group's mean. It exists because a node sends too few requests to measure each of many
// servers, so that two random draws would mostly compare servers without data. Its fields
// are atomic.
type fastSet struct {
	index [fastSetSize]atomic.Int32 // index of the member in its tier, plus 1; 0 for an empty entry
}

// draw returns the member of the entry at pos, or nil if the entry is empty.
func (f *fastSet) draw(members []member, pos int) *member {
	if i := int(f.index[pos%fastSetSize].Load()); i > 0 && i <= len(members) {
		return &members[i-1]
	}
	return nil
}

// add adds a member in an empty entry, or replaces the member at pos if there is none.
func (f *fastSet) add(m *member, members []member, pos int) {
	if m.server.inFastSet.Swap(true) {
		return
	}
	entry := &f.index[pos%fastSetSize]
	for i := range f.index {
		if f.index[i].Load() == 0 {
			entry = &f.index[i]
			break
		}
	}
	if old := int(entry.Swap(m.index + 1)); old > 0 && old <= len(members) {
		members[old-1].server.inFastSet.Store(false)
	}
}

// remove removes a member, if it is in the set.
func (f *fastSet) remove(m *member) {
	if !m.server.inFastSet.Swap(false) {
		return
	}
	for i := range f.index {
		f.index[i].CompareAndSwap(m.index+1, 0)
	}
}
