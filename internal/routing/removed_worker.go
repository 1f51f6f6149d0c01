package routing

import (
	"time"

	"gentianstand/internal/worker"
)

// RemovedWorker is the requests still in progress at a worker that was removed
// from the Router. It is safe for concurrent use.
type RemovedWorker struct{ upstream *upstream }

// Idle reports whether all of them have ended.
func (r *RemovedWorker) Idle() bool {
	r.upstream.mu.Lock()
	defer r.upstream.mu.Unlock()
	return len(r.upstream.inFlight) == 0
}

// Unanswered returns the ids of those granted before since that show no sign of
// an answer.
func (r *RemovedWorker) Unanswered(since time.Time) []string { return r.upstream.unanswered(since) }

// Resolve ends a doubtful request by the worker's word on it; see
// Router.Resolve.
func (r *RemovedWorker) Resolve(request string, state worker.RequestState, now time.Time) {
	r.upstream.resolve(request, state, now)
}
