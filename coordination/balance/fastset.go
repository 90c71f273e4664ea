package balance

import "sync/atomic"

const (
	// fastSetSize is how many recently fast servers of a tier a node keeps.
	fastSetSize = 8
	// fastMinTier is the default of Config.FastMinTier.
	fastMinTier = 8 * fastSetSize
	// fastSetDraws of totalDraws second draws are among the recently fast servers.
	fastSetDraws = 3
	totalDraws   = 4
)

// fastSet is the set of members of one tier that have recently answered faster than the
// average. A node sends too few requests to measure each of many servers, so that two random
// draws would mostly compare servers without data. Its fields are atomic.
type fastSet struct {
	index [fastSetSize]atomic.Int32 // of the member, plus 1; 0 is none
}

// draw returns the member at pos; nil for none.
func (f *fastSet) draw(members []member, pos int) *member {
	if i := int(f.index[pos%fastSetSize].Load()); i > 0 && i <= len(members) {
		return &members[i-1]
	}
	return nil
}

// add adds a member in a free place, or in place of the one at pos.
func (f *fastSet) add(m *member, members []member, pos int) {
	if m.server.fast.Swap(true) {
		return
	}
	place := &f.index[pos%fastSetSize]
	for i := range f.index {
		if f.index[i].Load() == 0 {
			place = &f.index[i]
			break
		}
	}
	if old := int(place.Swap(m.index + 1)); old > 0 && old <= len(members) {
		members[old-1].server.fast.Store(false)
	}
}

// remove removes a member.
func (f *fastSet) remove(m *member) {
	if !m.server.fast.Swap(false) {
		return
	}
	for i := range f.index {
		f.index[i].CompareAndSwap(m.index+1, 0)
	}
}
