package soak

import (
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// slowPrefix begins the paths of the route whose answers may be slow.
const slowPrefix = "/report/"

// framing is how an answer tells where its body ends.
type framing int

// The framings.
const (
	framedByLength framing = iota
	framedByChunks
	framedByClose
)

// set sets the headers of a framing.
func (f framing) set(h http.Header, bytes int) {
	switch f {
	case framedByLength:
		h.Set("Content-Length", strconv.Itoa(bytes))
	case framedByClose:
		h.Set("Transfer-Encoding", "identity") // asks net/http to end the connection
	}
}

// breakOff ends an answer before it is whole, visibly: where the end of the connection is the body's, by a
// reset. It doesn't return.
func (f framing) breakOff(w http.ResponseWriter) {
	if f == framedByClose {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = c.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
			_ = c.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// behaviour is how a backend server answers one request.
type behaviour struct {
	framing framing
	// head is the time until the head and the first half of the body, and rest the time
	// between that and the second half.
	head, rest time.Duration
	// breaks says that the answer ends after the first half, and stalls that it does so only
	// when the caller leaves.
	breaks, stalls bool
}

// Bounds of the behaviours that are drawn.
const (
	// slowShare is the share of the slow route's answers that take slowest at most between
	// their halves, others take fastest at most.
	slowShare = 0.6
	slowest   = 1400 * time.Millisecond
	fastest   = 40 * time.Millisecond
	// chunkShare and closeShare are the shares of answers without a length.
	chunkShare = 0.4
	closeShare = 0.1
	// breakShare is the share of answers that break off while a fault lets them.
	breakShare = 0.4
)

// behaviours are how the backend servers of a host answer.
type behaviours struct {
	varied bool
	seed   uint64
	// breaking is the number of faults that let answers break off.
	breaking *atomic.Int32
	// forgetting is the number of faults that let connections that were idle be forgotten.
	forgetting *atomic.Int32
}

func newBehaviours(p Plan) behaviours {
	return behaviours{varied: p.Ahead, seed: p.Seed, breaking: new(atomic.Int32), forgetting: new(atomic.Int32)}
}

// of returns the behaviour for a path, which is always the same but for faults. work is how long
// a request takes there.
func (b behaviours) of(path string, work time.Duration) behaviour {
	if isSlow(path) {
		work = slowWork
	}
	a := behaviour{head: work}
	if !b.varied {
		return a
	}
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(path)) // a hash takes everything
	rng := rand.New(rand.NewPCG(b.seed, sum.Sum64()))
	switch share := rng.Float64(); {
	case share < closeShare:
		a.framing = framedByClose
	case share < closeShare+chunkShare:
		a.framing = framedByChunks
	}
	most := fastest
	if rng.Float64() < slowShare && strings.HasPrefix(path, slowPrefix) {
		most = slowest
	}
	a.rest = time.Duration(rng.Float64() * float64(most))
	breaks := rng.Float64() < breakShare
	a.stalls = rng.IntN(2) == 0
	a.breaks = breaks && b.breaking.Load() > 0
	return a
}
