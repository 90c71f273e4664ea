package member

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// candidate is a live member of a zone that may be chosen as its gateway.
type candidate struct {
	id    model.NodeID
	key   model.NodeKey
	rank  uint64
	ready bool
}

// gatewaySalt separates the gateway ranks from other hashes of the node key.
const gatewaySalt = 0x67617465776179

// rankOf returns a node's rank in the rendezvous hashing that chooses gateways.
func rankOf(k model.NodeKey) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(k))
	binary.LittleEndian.PutUint64(b[8:], gatewaySalt)
	return xxhash.Sum64(b[:])
}

// compareCandidates sorts ready members before unready ones, then by descending rank.
func compareCandidates(a, b candidate) int {
	if a.ready != b.ready {
		if a.ready {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.id, b.id))
}

// chooseGateways returns the gateways of a zone. The choice depends on the table alone, so
// that members with the same table choose the same ones.
func (c *Core) chooseGateways(zone model.Zone) []candidate {
	var best []candidate
	c.table.EachLive(zone, func(r *endpoint.Record, k model.NodeKey) bool {
		cand := candidate{id: r.Node, key: k, rank: rankOf(k), ready: !r.Unready}
		i, _ := slices.BinarySearchFunc(best, cand, compareCandidates)
		if i < c.cfg.GatewaysPerZone {
			best = slices.Insert(best, i, cand)
			best = best[:min(len(best), c.cfg.GatewaysPerZone)]
		}
		return true
	})
	return best
}

// isAmong reports whether a node is one of the gateways.
func isAmong(gateways []candidate, id model.NodeID) bool {
	return slices.ContainsFunc(gateways, func(x candidate) bool { return x.id == id })
}
