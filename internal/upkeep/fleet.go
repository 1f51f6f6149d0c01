package upkeep

import "context"

// Fleet lists the platform's machines and accepts maintenance orders for them.
type Fleet interface {
	// Machines lists all machines.
	Machines(ctx context.Context) ([]Machine, error)
	// Begin orders the maintenance of a machine. It is idempotent: it also returns nil if
	// the machine's maintenance for this wave has already begun. After any error that is
	// not one of this package, the order may have been carried out, or may still be later.
	Begin(ctx context.Context, o Order) error
}
