package routing

import (
	"time"

	"gentianstand/internal/worker"
)

// Remainder is the requests still in progress at a worker that was removed
// from the Router. It is safe for concurrent use.
type Remainder struct{ upstream *upstream }

// Empty reports whether all of them have ended.
func (r *Remainder) Empty() bool {
	r.upstream.mu.Lock()
	defer r.upstream.mu.Unlock()
	return len(r.upstream.inFlight) == 0
}

// Doubtful returns the ids of those granted before since that show no sign of
// an answer.
func (r *Remainder) Doubtful(since time.Time) []string { return r.upstream.doubtful(since) }

// Resolve ends a doubtful request by the worker's word on it; see
// Router.Resolve.
func (r *Remainder) Resolve(request string, state worker.RequestState, now time.Time) {
	r.upstream.resolve(request, state, now)
}
