// Package runner declares the client interface through which tasks run on workers: a poll
// that renews the worker's lease and returns its report, and the orders to start, stop and
// throttle a run. Everything on a worker runs under its lease.
package runner

import "context"

// Client sends orders to workers. Every call names the worker's incarnation and carries a
// fencing token; a worker ignores tokens lower than the highest it has seen. Methods return
// a *Refusal if the worker declined, ErrIncarnationGone if another incarnation answers at
// the address, and ErrNoAnswer if the order may have been carried out already or may be
// later. An order never reaches another incarnation.
type Client interface {
	// Poll renews the lease and returns the running tasks and the ended runs. If the
	// worker has restarted under the same id, the new incarnation sends the report; its
	// lease is not renewed, and no ended runs are acknowledged to it.
	Poll(ctx context.Context, w Target, poll Poll) (Report, error)
	// Start starts a run of a task.
	Start(ctx context.Context, w Target, start Start) (Answer, error)
	// Stop ends a run. Once answered, it also revokes every start of that run, or of a
	// lower one, that has not reached the worker yet.
	Stop(ctx context.Context, w Target, stop Stop) (Answer, error)
	// Throttle limits a run to a percentage of its full speed.
	Throttle(ctx context.Context, w Target, throttle Throttle) (Answer, error)
}
