package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/transport/platform"
)

// maxBody is the largest request body, in bytes.
const maxBody = 64 << 20

// Paths of the stand-in's own controls.
const (
	// PathFaults takes Faults as JSON by POST; fields left out keep their
	// value. GET returns the faults.
	PathFaults = "/faults"
	// PathCounters returns the Counters by GET.
	PathCounters = "/counters"
)

// Handler returns the platform's HTTP protocol and the stand-in's controls. A
// lost call is shown by cutting the connection.
func (s *Store) Handler() http.Handler {
	h := &handler{s: s, table: &table{s}, objects: &objects{s}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathItem, h.item)
	mux.HandleFunc("GET "+platform.PathList, h.list)
	mux.HandleFunc("POST "+platform.PathTransact, h.transact)
	mux.HandleFunc("GET "+platform.PathObjects, h.listObjects)
	mux.HandleFunc("GET "+platform.PathObjects+"/{key...}", h.getObject)
	mux.HandleFunc("PUT "+platform.PathObjects+"/{key...}", h.putObject)
	mux.HandleFunc("DELETE "+platform.PathObjects+"/{key...}", h.deleteObject)
	mux.HandleFunc("POST "+PathFaults, h.setFaults)
	mux.HandleFunc("GET "+PathFaults, h.getFaults)
	mux.HandleFunc("GET "+PathCounters, h.counters)
	return mux
}

type handler struct {
	s       *Store
	table   *table
	objects *objects
}

// callContext keeps a call going after its caller has gone, as the platform
// does.
func callContext(r *http.Request) context.Context { return context.WithoutCancel(r.Context()) }

func (h *handler) item(w http.ResponseWriter, r *http.Request) {
	it, err := h.table.Get(callContext(r), r.URL.Query().Get("key"))
	respond(w, &it, err)
}

func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		http.Error(w, "limit is no number", http.StatusBadRequest)
		return
	}
	items, err := h.table.List(callContext(r), q.Get("prefix"), q.Get("after"), limit)
	respond(w, &platform.ItemsResponse{Items: items}, err)
}

func (h *handler) transact(w http.ResponseWriter, r *http.Request) {
	var req platform.TransactRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	revisions, err := h.table.Transact(callContext(r), req.Writes)
	respond(w, &platform.TransactResponse{Revisions: revisions}, err)
}

func (h *handler) listObjects(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		http.Error(w, "limit is no number", http.StatusBadRequest)
		return
	}
	keys, err := h.objects.List(callContext(r), q.Get("prefix"), q.Get("after"), limit)
	respond(w, &platform.KeysResponse{Keys: keys}, err)
}

func (h *handler) getObject(w http.ResponseWriter, r *http.Request) {
	body, err := h.objects.Get(callContext(r), r.PathValue("key"))
	if err != nil {
		respond(w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body) // the caller sees a cut connection
}

func (h *handler) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	respond(w, struct{}{}, h.objects.Put(callContext(r), r.PathValue("key"), body))
}

func (h *handler) deleteObject(w http.ResponseWriter, r *http.Request) {
	respond(w, struct{}{}, h.objects.Delete(callContext(r), r.PathValue("key")))
}

func (h *handler) setFaults(w http.ResponseWriter, r *http.Request) {
	f := h.s.Faults()
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.s.SetFaults(f)
	respond(w, &f, nil)
}

func (h *handler) getFaults(w http.ResponseWriter, _ *http.Request) {
	f := h.s.Faults()
	respond(w, &f, nil)
}

func (h *handler) counters(w http.ResponseWriter, _ *http.Request) {
	c := h.s.Counters()
	respond(w, &c, nil)
}

// respond writes v as JSON, or the status that stands for err.
func respond(w http.ResponseWriter, v any, err error) {
	var condition *platform.ConditionError
	var notFound *platform.NotFoundError
	var fault *FaultError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, v)
	case errors.As(err, &condition):
		writeJSON(w, http.StatusConflict, &platform.ConditionResponse{Item: condition.Current})
	case errors.As(err, &notFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.As(err, &fault):
		respondFault(w, fault)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func respondFault(w http.ResponseWriter, f *FaultError) {
	switch f.Fault {
	case faultDown:
		http.Error(w, f.Error(), http.StatusServiceUnavailable)
	case faultRate:
		http.Error(w, f.Error(), http.StatusTooManyRequests)
	default:
		panic(http.ErrAbortHandler) // cuts the connection
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller sees a cut connection
}
