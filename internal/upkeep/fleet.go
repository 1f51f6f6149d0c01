package upkeep

import "context"

// Fleet is the platform's list of machines and takes orders about them.
type Fleet interface {
	// Machines lists all machines.
	Machines(ctx context.Context) ([]Machine, error)
	// Begin orders the upkeep of a machine. It returns nil also if the machine has
	// had the upkeep of this wave already, one of the errors of this package, or
	// another error after which the order may have been carried out, or may be yet.
	Begin(ctx context.Context, o Order) error
}
