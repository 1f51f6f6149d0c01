package upkeep

import "time"

// Termination is the end of a worker because of the maintenance of its machine.
type Termination struct {
	// Worker is the ID of the worker.
	Worker string
	// OrderedAt is when the maintenance was first ordered. An incarnation of the worker that became
	// known later is the next one.
	OrderedAt time.Time
}
