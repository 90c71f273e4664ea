package soak

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// habit is how a caller uses its connections.
type habit int

// The habits, which callers beside a node have in turn.
const (
	// habitPipeline sends several requests of one route behind one another.
	habitPipeline habit = iota
	// habitFresh opens a connection for each request, and says on every second that it ends
	// with it.
	habitFresh
	// habitPool keeps a connection for requests that take long, or have a body.
	habitPool
	// habitSlow takes its answers slowly, and sends further requests meanwhile.
	habitSlow
	// habitLeave mostly leaves before its answers.
	habitLeave
	habitCount
)

// Parameters of the habits.
const (
	// pipelineMost is the largest number of requests that a pipeline sends behind one.
	pipelineMost = 4
	// leaveShare is the share of exchanges of a caller that leaves in which it does so, within
	// leaveWithin.
	leaveShare  = 0.7
	leaveWithin = 200 * time.Millisecond
	// bookBody is the largest body of a request, in bytes.
	bookBody = 24_000
	// slowBuffer is the kernel's buffer of a caller that takes its answers slowly, and slowPiece
	// what it takes at a time, both in bytes; slowGap is the time between two pieces.
	slowBuffer = 4 << 10
	slowPiece  = 2 << 10
	slowGap    = 30 * time.Millisecond
	// slowestGap is the longest time between two requests of such a caller.
	slowestGap = 900 * time.Millisecond
)

// nextHabit sends the next requests of a caller by its habit, and returns how long it pauses then.
func (c *callers) nextHabit(from *caller, n *node) time.Duration {
	number := c.number()
	rng := rand.New(rand.NewPCG(c.site.cfg.Plan.Seed, uint64(number)))
	batch := c.habitBatch(rng, from, n, number)
	if from.habit == habitLeave && rng.Float64() < leaveShare {
		from.leaveAfter = time.Duration(rng.Float64() * float64(leaveWithin))
	}
	from.exchange(batch...)
	from.leaveAfter = 0
	c.keep(batch...)
	return pauseBehind(rng, batch[0])
}

// habitBatch draws the requests that a caller sends behind one another.
func (c *callers) habitBatch(rng *rand.Rand, from *caller, n *node, number int) []*Request {
	switch from.habit {
	case habitPipeline:
		return c.pipelineBatch(rng, n, number, "", mostGap, callerWait)
	case habitSlow:
		return c.pipelineBatch(rng, n, number, largeSuffix, slowestGap, slowWait)
	case habitFresh:
		r := c.bookRequest(rng, n, number)
		r.Closes = number%2 == 0
		return []*Request{r}
	case habitPool, habitLeave:
		if rng.IntN(2) == 0 {
			return []*Request{c.bookRequest(rng, n, number)}
		}
		r := c.habitRequest(n, number, http.MethodGet, slowPrefix, "")
		r.Wait = slowWait
		return []*Request{r}
	}
	return nil // there is no other habit
}

// pipelineBatch draws requests of one route, the first for a path with a suffix, up to gap apart.
func (c *callers) pipelineBatch(rng *rand.Rand, n *node, number int, suffix string, gap, patience time.Duration) []*Request {
	batch := []*Request{c.habitRequest(n, number, http.MethodGet, "/status/", suffix)}
	for range rng.IntN(pipelineMost + 1) {
		r := c.habitRequest(n, c.number(), http.MethodGet, "/status/", "")
		r.Gap = time.Duration(rng.Float64() * float64(gap))
		batch = append(batch, r)
	}
	for _, r := range batch {
		r.Wait = patience
	}
	return batch
}

// bookRequest draws a request with a body.
func (c *callers) bookRequest(rng *rand.Rand, n *node, number int) *Request {
	r := c.habitRequest(n, number, http.MethodPost, "/book/", "")
	r.BodyBytes = 1 + rng.IntN(bookBody)
	return r
}

// habitRequest returns the request of a number.
func (c *callers) habitRequest(n *node, number int, method, prefix, suffix string) *Request {
	return c.dueRequest(n, number, method, prefix+requestID(number)+suffix)
}

// slowConn is a connection whose caller takes what comes slowly.
type slowConn struct{ net.Conn }

func newSlowConn(conn net.Conn) net.Conn {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(slowBuffer) // without it more waits in the kernel
	}
	return &slowConn{conn}
}

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	time.Sleep(slowGap)
	return c.Conn.Read(p[:min(len(p), slowPiece)])
}
