// Package runner declares how tasks are run on workers whose agents take
// orders one by one: start, stop, pace, and a look that also extends the lease
// under which everything on the worker runs.
package runner

import "context"

// Client speaks to one worker. Every call names the worker's incarnation and
// carries a fencing token; the worker does nothing for a lower token than it
// has seen. Methods return a *Refusal if the worker declined, ErrGone if
// another incarnation answers at the address, and ErrNoAnswer if the order may
// have been carried out or may still be. No order reaches another incarnation.
type Client interface {
	// Poll extends the lease and returns what runs and what has ended. If the worker
	// has started again under its id, the next incarnation reports; its lease is not
	// extended, and nothing is acknowledged to it.
	Poll(ctx context.Context, w Target, look Poll) (Report, error)
	// Start starts a run of a task.
	Start(ctx context.Context, w Target, start Start) (Answer, error)
	// Stop ends a run. Answered, it also revokes a start of that run, or of a
	// lower one, that has not arrived yet.
	Stop(ctx context.Context, w Target, stop Stop) (Answer, error)
	// Throttle lets a run work at a share of its speed.
	Throttle(ctx context.Context, w Target, pace Throttle) (Answer, error)
}
