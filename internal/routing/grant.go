package routing

import (
	"context"
	"sync/atomic"
	"time"
)

// Grant is a slot on a worker, held by one request until Done.
type Grant struct {
	// ID is the id of this attempt at the worker.
	ID        string
	Worker    string
	Address   string
	Epoch     uint64
	GrantedAt time.Time

	pool            *pool
	upstream        *upstream
	responseStarted atomic.Bool
	done            atomic.Bool
	// finishedAt is when the worker first said that the request has ended, in
	// nanoseconds since 1970; 0 if it has not.
	finishedAt atomic.Int64
	cancel     context.CancelCauseFunc
	ctx        context.Context
}

// Context ends when the request should be given up because of the upstream:
// its cause is ErrNeverArrived or ErrAnswerLost.
func (g *Grant) Context() context.Context { return g.ctx }

// ResponseStarted notes that the upstream's answer has begun; from now on the
// request is never taken for one on a silent connection.
func (g *Grant) ResponseStarted() { g.responseStarted.Store(true) }

// Done returns the slot. Only the first call counts.
func (g *Grant) Done(result Result, now time.Time) {
	if g.done.Swap(true) {
		return
	}
	g.cancel(nil)
	g.upstream.release(g, result, now)
	g.pool.router.slotFreed(g.upstream, now)
}

// finishedFor returns how long the worker has called the request finished.
func (g *Grant) finishedFor(now time.Time) time.Duration {
	if g.finishedAt.CompareAndSwap(0, now.UnixNano()) {
		return 0
	}
	return now.Sub(time.Unix(0, g.finishedAt.Load()))
}
