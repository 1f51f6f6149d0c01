package cellpeer

import (
	"context"

	"gentianstand/internal/advice"
)

// AdviceLinks calls the placement adviser through another instance, over a connection that
// is already open.
type AdviceLinks interface {
	// Ask returns the tickets for a stage. sent is false if the instance was not asked.
	Ask(ctx context.Context, i Instance, term uint64, stage string, workers []string) (tickets []advice.Ticket, sent bool, err error)
	// Lost reports whether the connection to an instance works no more, and could not be replaced a
	// short time ago.
	Lost(instance string) bool
}
