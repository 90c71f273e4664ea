// Package operatorapi serves a node's operator interface over HTTP. It checks the
// requests and leaves the operations to a Delegate.
package operatorapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/coordination/accept"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Delegate carries out the operations of the interface. Its errors are
// *operator.Problem; any other error is reported with operator.CodeRefused.
// Implementations are safe for concurrent use.
type Delegate interface {
	// Apply accepts or rejects a change.
	Apply(ctx context.Context, req *operator.ApplyRequest) (*operator.ApplyResponse, error)
	// Documents returns the documents that the node holds; an empty kind or name
	// selects all.
	Documents(kind, name string) (*operator.Documents, error)
	// History returns up to limit accepted changes, newest first; a non-empty
	// change id selects that change.
	History(ctx context.Context, change string, limit int) (*operator.History, error)
	// Status returns the node's view of the mesh.
	Status(ctx context.Context) (*operator.Status, error)
	// Progress returns the state of the fleet's roll-out of a version.
	Progress(ctx context.Context, version uint64) (*operator.Progress, error)
	// Drain takes a node's backend server out of service, or back.
	Drain(ctx context.Context, req *operator.DrainRequest) error
}

// pollInterval is the interval at which the progress is polled while a request
// waits for a version to come into force.
const pollInterval = 20 * time.Millisecond

// New returns the handler of the operator interface. The http.Server that runs it
// must bound request headers; the handler bounds only bodies.
func New(d Delegate) http.Handler {
	s := &server{delegate: d}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+operator.PathApply, s.apply)
	mux.HandleFunc("GET "+operator.PathDocuments, s.documents)
	mux.HandleFunc("GET "+operator.PathHistory, s.history)
	mux.HandleFunc("GET "+operator.PathStatus, s.status)
	mux.HandleFunc("GET "+operator.PathProgress, s.progress)
	mux.HandleFunc("POST "+operator.PathDrain, s.drain)
	return mux
}

// server serves the operator interface by calling its delegate.
type server struct {
	delegate Delegate
}

func (s *server) apply(w http.ResponseWriter, r *http.Request) {
	req := new(operator.ApplyRequest)
	if err := readJSON(w, r, req); err != nil {
		writeError(w, err)
		return
	}
	if !accept.ValidChangeID(req.ChangeID) {
		writeError(w, malformed("changeId: want 1 to 64 letters, digits, dots, hyphens or underscores"))
		return
	}
	resp, err := s.delegate.Apply(r.Context(), req)
	writeResult(w, resp, err)
}

func (s *server) documents(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	kind, name := q.Get("kind"), q.Get("name")
	if err := checkSelection(kind, name); err != nil {
		writeError(w, err)
		return
	}
	resp, err := s.delegate.Documents(kind, name)
	writeResult(w, resp, err)
}

func (s *server) history(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := parseLimit(q.Get("limit"))
	if err == nil {
		err = checkChangeID(q.Get("change"))
	}
	if err != nil {
		writeError(w, err)
		return
	}
	resp, err := s.delegate.History(r.Context(), q.Get("change"), limit)
	writeResult(w, resp, err)
}

func (s *server) status(w http.ResponseWriter, r *http.Request) {
	resp, err := s.delegate.Status(r.Context())
	writeResult(w, resp, err)
}

func (s *server) drain(w http.ResponseWriter, r *http.Request) {
	req := new(operator.DrainRequest)
	if err := readJSON(w, r, req); err != nil {
		writeError(w, err)
		return
	}
	if !model.ValidName(string(req.Node)) {
		writeError(w, malformed("node: want the name of a node"))
		return
	}
	writeResult(w, &struct{}{}, s.delegate.Drain(r.Context(), req))
}

func (s *server) progress(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	version, err := strconv.ParseUint(q.Get("version"), 10, 64)
	if err != nil {
		writeError(w, malformed("query parameter version: want a number"))
		return
	}
	wait, err := parseWait(q.Get("wait"))
	if err != nil {
		writeError(w, err)
		return
	}
	resp, err := s.awaitInForce(r.Context(), version, wait)
	writeResult(w, resp, err)
}

// awaitInForce polls the progress of a version until it is in force or wait has
// passed, and returns the last progress.
func (s *server) awaitInForce(ctx context.Context, version uint64, wait time.Duration) (*operator.Progress, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		p, err := s.delegate.Progress(context.WithoutCancel(ctx), version)
		if err != nil || p.InForce {
			return p, err
		}
		select {
		case <-ctx.Done():
			return p, nil
		case <-ticker.C:
		}
	}
}

// writeResult responds with v, or with err as a problem if it isn't nil.
func writeResult(w http.ResponseWriter, v any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, v)
}

func writeError(w http.ResponseWriter, err error) {
	var p *operator.Problem
	if !errors.As(err, &p) {
		p = &operator.Problem{Code: operator.CodeRefused, Message: err.Error()}
	}
	writeJSON(w, statusOf(p.Code), p)
}

func statusOf(code operator.Code) int {
	switch code {
	case operator.CodeInvalid:
		return http.StatusUnprocessableEntity
	case operator.CodeConflict:
		return http.StatusConflict
	case operator.CodeNotFound:
		return http.StatusNotFound
	case operator.CodeMalformed:
		return http.StatusBadRequest
	case operator.CodeUnknown:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has gone, so there is nobody to report it to
}
