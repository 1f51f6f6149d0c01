// Package advice declares the service that says which workers may run a stage.
// It handles one call at a time for each calling instance, and is slow, so
// calls are spread over all instances.
package advice

import (
	"context"
	"errors"
)

// ErrBusy says that too many calls of this instance wait already.
var ErrBusy = errors.New("the placement adviser has too many calls of this instance waiting")

// Adviser is the placement adviser.
type Adviser interface {
	// Ask returns a ticket for each of the named workers that may run the
	// stage. Which workers may never changes during the life of a stage.
	Ask(ctx context.Context, stage string, workers []string) ([]Ticket, error)
}
