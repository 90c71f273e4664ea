package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/coordination/accept"
	"github.com/jacinthgate/jacinthgate/coordination/distribute"
	"github.com/jacinthgate/jacinthgate/internal/control"
	"github.com/jacinthgate/jacinthgate/internal/eventqueue"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
	"github.com/jacinthgate/jacinthgate/state/strictjson"
)

// operatorDelegate carries out the calls of operators. It is safe for
// concurrent use.
type operatorDelegate struct {
	self     model.NodeID
	accepter *control.Accepter
	loop     *loop
	pub      *published
	drainer  *drainer
	audit    audit
}

// Apply implements operatorapi.Delegate. A version that is accepted here is
// applied and spread at once, without waiting for the zone's reader.
func (o *operatorDelegate) Apply(ctx context.Context, req *operator.ApplyRequest) (*operator.ApplyResponse, error) {
	resp, err := o.apply(ctx, req)
	o.audit.change(ctx, req.ChangeID, resp, err)
	return resp, err
}

func (o *operatorDelegate) apply(ctx context.Context, req *operator.ApplyRequest) (*operator.ApplyResponse, error) {
	change := accept.Change{
		ID:     req.ChangeID,
		Batch:  &req.Batch,
		Base:   req.Base,
		Resend: req.Resend,
	}
	accepted, err := o.accepter.Apply(ctx, change)
	if err != nil {
		return nil, o.problem(err)
	}
	o.spread(ctx)
	return &operator.ApplyResponse{
		ChangeID: req.ChangeID,
		Version:  accepted.Ref.Version,
		Hash:     accepted.Ref.Hash.String(),
		Repeated: accepted.Repeated,
	}, nil
}

// spread hands the newest accepted version to the event loop.
func (o *operatorDelegate) spread(ctx context.Context) {
	if s := o.accepter.Newest(); s != nil && s.Version() > 0 {
		o.loop.queue.Post(ctx, distribute.Loaded{Snapshot: s})
	}
}

// problem translates an error of the accepter.
func (o *operatorDelegate) problem(err error) *operator.Problem {
	p := &operator.Problem{Code: operator.CodeRefused, Message: err.Error(), Node: o.self}
	var conflict *accept.ConflictError
	var invalid *accept.InvalidError
	var changeID *accept.ChangeIDError
	var unknown *accept.UnknownOutcomeError
	switch {
	case errors.As(err, &conflict):
		p.Code = operator.CodeConflict
		p.Document, p.Revision = conflict.Document, conflict.Current
	case errors.As(err, &invalid), errors.As(err, &changeID):
		p.Code = operator.CodeInvalid
		p.Faults = faultsOf(err)
	case errors.As(err, &unknown):
		p.Code = operator.CodeUnknown
	}
	return p
}

// faultsOf returns the faults of documents in an error, if there are any.
func faultsOf(err error) []operator.Fault {
	var faults strictjson.Faults
	if !errors.As(err, &faults) {
		return nil
	}
	out := make([]operator.Fault, 0, len(faults))
	for _, f := range faults {
		out = append(out, operator.Fault{Path: f.Path, Found: f.Found, Allowed: f.Allowed})
	}
	return out
}

// Documents implements operatorapi.Delegate.
func (o *operatorDelegate) Documents(kind, name string) (*operator.Documents, error) {
	s := o.pub.Snapshot()
	if s == nil {
		s = snapshot.Empty()
	}
	out := &operator.Documents{Version: s.Version()}
	if kind != operator.KindService {
		out.Documents = append(out.Documents, contractsOf(s, name)...)
	}
	if kind != operator.KindContract {
		out.Documents = append(out.Documents, servicesOf(s, name)...)
	}
	if name != "" && len(out.Documents) == 0 {
		return nil, o.notFound(kind + " " + name)
	}
	return out, nil
}

func contractsOf(s *snapshot.Snapshot, name string) []operator.Document {
	var out []operator.Document
	for _, organisation := range s.Organisations() {
		if name == "" || name == organisation {
			e := s.Contract(organisation)
			out = append(out, operator.Document{Revision: e.Revision, Contract: e.Contract})
		}
	}
	return out
}

func servicesOf(s *snapshot.Snapshot, name string) []operator.Document {
	var out []operator.Document
	for _, service := range s.Services() {
		if name == "" || name == service {
			e := s.Service(service)
			out = append(out, operator.Document{Revision: e.Revision, Service: e.Service})
		}
	}
	return out
}

func (o *operatorDelegate) notFound(what string) *operator.Problem {
	return &operator.Problem{Code: operator.CodeNotFound, Message: what + " not found", Node: o.self}
}

// History implements operatorapi.Delegate.
func (o *operatorDelegate) History(ctx context.Context, change string, limit int) (*operator.History, error) {
	head, err := o.accepter.Head(ctx)
	if err != nil {
		return nil, o.problem(err)
	}
	out := &operator.History{Head: head.Ref.Version}
	if change != "" {
		return o.oneChange(ctx, out, change)
	}
	entries, err := o.accepter.History(ctx, limit)
	if err != nil {
		return nil, o.problem(err)
	}
	for _, e := range entries {
		out.Entries = append(out.Entries, historyEntry(e))
	}
	return out, nil
}

func (o *operatorDelegate) oneChange(ctx context.Context, out *operator.History, change string) (*operator.History, error) {
	record, err := o.accepter.Change(ctx, change)
	if err != nil {
		return nil, o.problem(err)
	}
	if record == nil {
		return nil, o.notFound("change " + change)
	}
	out.Entries = []operator.HistoryEntry{historyEntry(record.Entry)}
	return out, nil
}

func historyEntry(e accept.Entry) operator.HistoryEntry {
	return operator.HistoryEntry{ChangeID: e.ChangeID, Version: e.Ref.Version, Accepted: e.Time()}
}

// Status implements operatorapi.Delegate.
func (o *operatorDelegate) Status(ctx context.Context) (*operator.Status, error) {
	s, ran := eventqueue.Ask(ctx, o.loop.queue, func() *operator.Status { return o.loop.status(time.Now()) })
	if !ran {
		return nil, &operator.Problem{Code: operator.CodeNotReady, Message: "the node is busy", Node: o.self}
	}
	return s, nil
}

// Progress implements operatorapi.Delegate.
func (o *operatorDelegate) Progress(ctx context.Context, version uint64) (*operator.Progress, error) {
	p, ran := eventqueue.Ask(ctx, o.loop.queue, func() *operator.Progress { return o.loop.progress(time.Now(), version) })
	if !ran {
		return nil, &operator.Problem{Code: operator.CodeNotReady, Message: "the node is busy", Node: o.self}
	}
	return p, nil
}

// Drain implements operatorapi.Delegate.
func (o *operatorDelegate) Drain(ctx context.Context, req *operator.DrainRequest) error {
	err := o.drain(ctx, req)
	o.audit.drain(ctx, req, err)
	return err
}

func (o *operatorDelegate) drain(ctx context.Context, req *operator.DrainRequest) error {
	if req.Node == o.self {
		return o.drainer.local(req.Drain)
	}
	addr, ran := eventqueue.Ask(ctx, o.loop.queue, func() string {
		r, _ := o.loop.member.Table().Get(req.Node)
		return r.GateAddr
	})
	if !ran {
		return &operator.Problem{Code: operator.CodeNotReady, Message: "the node is busy", Node: o.self}
	}
	if addr == "" {
		return o.notFound("node " + string(req.Node))
	}
	return o.drainer.remote(ctx, req.Node, addr, req.Drain)
}
