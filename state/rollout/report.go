package rollout

import (
	"math"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Buckets is the number of histogram buckets of a Tally: half octaves from 4 ms to
// 16 s. The last one also holds all longer durations.
const Buckets = 24

// firstBucket is the upper bound of the first bucket.
const firstBucket = 4 * time.Millisecond

// Bucket returns the index of a duration's bucket. Each bucket's upper bound is the square
// root of two times that of the one before.
func Bucket(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	octaves := math.Log2(float64(d) / float64(firstBucket))
	return min(int(math.Ceil(2*octaves)), Buckets-1)
}

// Tally holds the results of one workload on the backend server on one node's host.
type Tally struct {
	Work model.Work `cbor:"1,keyasint"`
	// Answers is the number of requests that the backend server has run.
	Answers uint32 `cbor:"2,keyasint"`
	// Failed is the number of them that failed.
	Failed uint32 `cbor:"3,keyasint,omitempty"`
	// Times is the histogram of the others' durations, indexed by Bucket, without those
	// from when the backend server was still slow after its start.
	Times []uint32 `cbor:"4,keyasint,omitempty"`
}

// Report holds the tallies of one node since it received an order. Of the reports of one
// node, the one with the highest sequence replaces the others.
type Report struct {
	Service string `cbor:"1,keyasint"`
	// Revision is the order's revision.
	Revision uint64 `cbor:"2,keyasint"`
	// Reporter and Incarnation identify the reporting node and its start.
	Reporter    model.NodeID `cbor:"3,keyasint"`
	Incarnation uint64       `cbor:"4,keyasint"`
	// Version is the version of the backend server on the node's host.
	Version string `cbor:"5,keyasint"`
	// Sequence increases with each report of an incarnation.
	Sequence uint64  `cbor:"6,keyasint"`
	Tallies  []Tally `cbor:"7,keyasint"`
}

// maxTallies limits the number of workloads in a report: a service has a few.
const maxTallies = 16

// Valid reports whether a report is well-formed, since a peer may send any content.
func (r *Report) Valid() bool {
	if !validName(r.Service) || !validName(string(r.Reporter)) || !validName(r.Version) || len(r.Tallies) > maxTallies {
		return false
	}
	for i := range r.Tallies {
		if t := &r.Tallies[i]; len(t.Times) > Buckets || t.Failed > t.Answers {
			return false
		}
	}
	return true
}
