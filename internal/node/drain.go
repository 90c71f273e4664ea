package node

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/local"
)

// pathDrain is where a gate takes drain calls from other nodes. A request that
// an entry proxy passes on always names its service, so a caller can't reach it.
const pathDrain = "/.jacinthgate/v1/drain"

// paramDrain is the query parameter of pathDrain: "true" or "false".
const paramDrain = "drain"

// drainer takes backend servers out of service, and back.
type drainer struct {
	self     model.NodeID
	registry *local.Registry
	gate     http.RoundTripper
	scheme   string
}

// local drains this host's backend server.
func (d *drainer) local(drain bool) error {
	if err := d.registry.Drain(drain); err != nil {
		return &operator.Problem{Code: operator.CodeRefused, Message: err.Error(), Node: d.self}
	}
	return nil
}

// remote asks another node to drain its host's backend server.
func (d *drainer) remote(ctx context.Context, node model.NodeID, addr string, drain bool) error {
	u := url.URL{
		Scheme:   d.scheme,
		Host:     addr,
		Path:     pathDrain,
		RawQuery: url.Values{paramDrain: {strconv.FormatBool(drain)}}.Encode(),
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), nil)
	if err != nil {
		return d.unreached(node, err)
	}
	resp, err := d.gate.RoundTrip(req)
	if err != nil {
		return d.unreached(node, err)
	}
	_ = resp.Body.Close() // the status says all
	if resp.StatusCode != http.StatusNoContent {
		return &operator.Problem{
			Code:    operator.CodeRefused,
			Message: "node " + string(node) + " answered " + resp.Status,
			Node:    d.self,
		}
	}
	return nil
}

// unreached reports a call without an answer. Draining is idempotent, so the
// operator may send it again.
func (d *drainer) unreached(node model.NodeID, err error) error {
	return &operator.Problem{
		Code:    operator.CodeUnknown,
		Message: "node " + string(node) + " did not answer: " + err.Error(),
		Node:    d.self,
	}
}

// gateHandler serves drain calls of other nodes in front of the gate.
func (d *drainer) gateHandler(gate http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != pathDrain || r.Header.Get(outcome.HeaderService) != "" {
			gate.ServeHTTP(w, r)
			return
		}
		d.serveRemote(w, r)
	})
}

func (d *drainer) serveRemote(w http.ResponseWriter, r *http.Request) {
	drain, err := strconv.ParseBool(r.URL.Query().Get(paramDrain))
	if err != nil || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := d.registry.Drain(drain); err != nil {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
