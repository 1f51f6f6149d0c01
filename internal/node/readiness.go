package node

import (
	"net/http"
	"sync/atomic"

	"gentianstand/internal/catalog"
)

// readiness answers the load balancer's health checks. An instance is ready once a catalog is in
// force and until it stops. Without the store or the cell's owner it stays ready: it refuses
// callers at once, or forwards their jobs to an instance that can reach what it lacks.
type readiness struct {
	current  *catalog.Current
	stopping *atomic.Bool
}

// ServeHTTP implements http.Handler.
func (r readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if r.stopping.Load() || r.current.Get() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
