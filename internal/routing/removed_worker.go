package routing

import (
	"time"

	"gentianstand/internal/worker"
)

// RemovedWorker holds the requests that are still in progress at a worker that was removed from
// the Router. It is safe for concurrent use.
type RemovedWorker struct{ upstream *upstream }

// Idle reports whether all of these requests have ended.
func (r *RemovedWorker) Idle() bool {
	r.upstream.mu.Lock()
	defer r.upstream.mu.Unlock()
	return len(r.upstream.inFlight) == 0
}

// Unanswered returns the ids of requests that were granted before since and whose response has
// not started.
func (r *RemovedWorker) Unanswered(since time.Time) []string { return r.upstream.unanswered(since) }

// Resolve ends an unanswered request according to the state that the worker reports; see
// Router.Resolve.
func (r *RemovedWorker) Resolve(request string, state worker.RequestState, now time.Time) {
	r.upstream.resolve(request, state, now)
}
