package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

const (
	// grace is how long after its deadline a caller still waits, so that an
	// honest answer about the deadline is seen.
	grace = time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// maxAnswer bounds an answer, in bytes: twice the largest body, echoed
	// as JSON.
	maxAnswer = 2*MaxBody + 1<<20
)

// caller sends requests. It is safe for concurrent use.
type caller struct {
	transport *http.Transport
}

func newCaller(p Plan) *caller {
	idle := max(p.InFlight, p.Workers)
	return &caller{transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression:  true,
		MaxIdleConns:        idle,
		MaxIdleConnsPerHost: idle,
	}}
}

func (c *caller) close() { c.transport.CloseIdleConnections() }

// sent returns what one try of an operation sends. Each try has its own id;
// all tries of an operation share key and body.
func (r *runner) sent(op operation, copied, try int) sent {
	class := r.plan.Classes[op.class]
	name := fmt.Sprintf("%s-%d", r.run, op.seq)
	s := sent{
		id:     fmt.Sprintf("%s-%d-%d", name, copied, try),
		path:   op.path,
		body:   body(name, class.Body),
		direct: r.arms[op.seq%len(r.arms)].Name == ArmDirect,
		older:  class.Older,
	}
	if class.Keyed {
		s.key = name
	}
	return s
}

// body returns a body of the given size that starts with the operation's name.
func body(name string, size int) string {
	if size == 0 {
		return ""
	}
	name += ";"
	return strings.Repeat(name, size/len(name)+1)[:size]
}

// call sends one request and tells how it ended. It does not retry.
func (c *caller) call(ctx context.Context, address string, class Class, s sent) seen {
	ctx, cancel := context.WithTimeout(ctx, class.Deadline.Std()+grace)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, class.Method, "http://"+address+s.path, strings.NewReader(s.body))
	if err != nil {
		return seen{label: LabelFailed, reason: "request"}
	}
	req.Host = class.Host
	req.Header.Set(headerRequestID, s.id)
	req.Header.Set(outcome.HeaderDeadline, strconv.FormatInt(class.Deadline.Std().Milliseconds(), 10))
	if s.key != "" {
		req.Header.Set(outcome.HeaderIdempotencyKey, s.key)
	}
	neverRepeat(req)
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return failed(ctx, LabelFailed, err)
	}
	got, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	closeErr := resp.Body.Close()
	if err != nil || closeErr != nil {
		return failed(ctx, LabelCut, err)
	}
	return judge(s, resp.StatusCode, resp.Header, got)
}

// neverRepeat keeps the transport from sending a request again by itself, so
// that each id is sent once. The transport repeats a request when its
// connection breaks, it has a key or is a GET, and its body can be read again.
func neverRepeat(req *http.Request) {
	req.GetBody = nil
	if req.Method == http.MethodGet && req.ContentLength == 0 {
		req.Body = io.NopCloser(strings.NewReader(""))
	}
}

// failed tells a timeout from another failure.
func failed(ctx context.Context, otherwise Label, err error) seen {
	if ctx.Err() != nil {
		return seen{label: LabelTimeout, reason: string(LabelTimeout)}
	}
	var op *net.OpError
	if errors.As(err, &op) {
		return seen{label: otherwise, reason: "connection-" + op.Op}
	}
	return seen{label: otherwise, reason: "connection-closed"}
}
