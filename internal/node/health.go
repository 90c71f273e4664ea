package node

import (
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// healthHandler serves /healthz, /readyz and /metrics.
func (n *Node) healthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n") // the caller may be gone
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !n.pub.Ready() {
			http.Error(w, "no whole version held yet", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n") // the caller may be gone
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		n.gauges.refresh(r.Context(), n.loop)
		n.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return mux
}
