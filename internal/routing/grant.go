package routing

import (
	"context"
	"sync/atomic"
	"time"
)

// Grant is a slot on a worker, held by one request until Done is called.
type Grant struct {
	// ID identifies this attempt at the worker.
	ID        string
	Worker    string
	Address   string
	Epoch     uint64
	GrantedAt time.Time

	pool            *pool
	upstream        *upstream
	responseStarted atomic.Bool
	done            atomic.Bool
	// finishedAt is when the worker first reported that the request has ended, in Unix
	// nanoseconds; 0 if it has not.
	finishedAt atomic.Int64
	cancel     context.CancelCauseFunc
	ctx        context.Context
}

// Context is cancelled when the request should be abandoned because of the upstream; its cause
// is then ErrNeverArrived or ErrAnswerLost.
func (g *Grant) Context() context.Context { return g.ctx }

// ResponseStarted records that the upstream's response has started. From then on the request is
// no longer treated as unanswered.
func (g *Grant) ResponseStarted() { g.responseStarted.Store(true) }

// Done releases the slot. Only the first call has an effect.
func (g *Grant) Done(result Result, now time.Time) {
	if g.done.Swap(true) {
		return
	}
	g.cancel(nil)
	g.upstream.release(g, result, now)
	g.pool.router.slotFreed(g.upstream, now)
}

// finishedFor returns how long ago the worker first reported the request as finished.
func (g *Grant) finishedFor(now time.Time) time.Duration {
	if g.finishedAt.CompareAndSwap(0, now.UnixNano()) {
		return 0
	}
	return now.Sub(time.Unix(0, g.finishedAt.Load()))
}
