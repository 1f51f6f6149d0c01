package upkeep

import "context"

// Source has the operators' waves and takes reports about them.
type Source interface {
	// Unfinished returns the waves that are not reported as completed.
	Unfinished(ctx context.Context) ([]Wave, error)
	// Report tells operators that a wave goes on or is completed. A wave that was
	// reported as completed stays so.
	Report(ctx context.Context, wave uint64, completed bool) error
}
