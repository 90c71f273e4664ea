package node

import (
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// healthHandler serves /healthz, /readyz and /metrics.
func healthHandler(pub *published, sets ...*metrics.Set) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n") // the caller may be gone
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !pub.Ready() {
			http.Error(w, "no whole version held yet", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n") // the caller may be gone
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		for _, s := range sets {
			s.WritePrometheus(w)
		}
		metrics.WriteProcessMetrics(w)
	})
	return mux
}
