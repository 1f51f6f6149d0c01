// Package advice declares the interface to the placement adviser, the service that decides which
// workers may run a stage. The adviser handles one call at a time for each calling instance and is
// slow, so calls are spread over all instances.
package advice

import (
	"context"
	"errors"
)

// ErrBusy means that too many calls of this instance are already waiting.
var ErrBusy = errors.New("the placement adviser has too many calls of this instance waiting")

// Adviser issues tickets for starting tasks on workers.
type Adviser interface {
	// Ask returns a ticket for each of the given workers that may run the stage. The set of
	// workers that may run a stage never changes during the lifetime of the stage.
	Ask(ctx context.Context, stage string, workers []string) ([]Ticket, error)
}
