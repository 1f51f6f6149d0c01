package node

import (
	"net/http"
	"sync/atomic"

	"gentianstand/internal/catalog"
)

// readiness answers the balancer. An instance is ready as soon as it knows the
// catalog: without the store or the cell's owner it still refuses at once, or
// passes callers' jobs on to an instance that has what it lacks.
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
