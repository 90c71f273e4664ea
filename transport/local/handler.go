package local

import (
	"encoding/json"
	"errors"
	"net/http"
)

// maxBody bounds a request's body in bytes.
const maxBody = 4 << 10

// Error codes of the API.
const (
	codeMalformed = "malformed"
	codeInvalid   = "invalid"
	codeNoServer  = "no-server"
)

// refusal is the body of an error response.
type refusal struct {
	Code   string `json:"code"`
	Field  string `json:"field,omitempty"`
	Detail string `json:"detail"`
}

// status is the body of an accepted request.
type status struct {
	Announcement
	// RenewSeconds is the interval at which the backend server must renew its
	// announcement.
	RenewSeconds float64 `json:"renewSeconds"`
}

// Handler returns the handler of the API: POST /announce, /drain, /undrain and
// /withdraw, and GET /announcement. It must be served only on the host's loopback
// address.
func (r *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", r.handleAnnounce)
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) { r.reply(w, r.Drain(true)) })
	mux.HandleFunc("POST /undrain", func(w http.ResponseWriter, _ *http.Request) { r.reply(w, r.Drain(false)) })
	mux.HandleFunc("POST /withdraw", func(w http.ResponseWriter, _ *http.Request) {
		r.Withdraw()
		r.reply(w, nil)
	})
	mux.HandleFunc("GET /announcement", func(w http.ResponseWriter, _ *http.Request) { r.reply(w, nil) })
	return mux
}

func (r *Registry) handleAnnounce(w http.ResponseWriter, req *http.Request) {
	d := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBody))
	d.DisallowUnknownFields()
	var a Announcement
	if err := d.Decode(&a); err != nil {
		writeJSON(w, http.StatusBadRequest, refusal{Code: codeMalformed, Detail: err.Error()})
		return
	}
	r.reply(w, r.Announce(a))
}

func (r *Registry) reply(w http.ResponseWriter, err error) {
	var field *FieldError
	var missing *NoServerError
	switch {
	case errors.As(err, &field):
		writeJSON(w, http.StatusUnprocessableEntity, refusal{Code: codeInvalid, Field: field.Field, Detail: err.Error()})
	case errors.As(err, &missing):
		writeJSON(w, http.StatusConflict, refusal{Code: codeNoServer, Detail: err.Error()})
	default:
		writeJSON(w, http.StatusOK, status{Announcement: r.Current(), RenewSeconds: r.cfg.Interval.Seconds()})
	}
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body) // the backend server may have disconnected; it renews later
}
