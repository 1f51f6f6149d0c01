package cell

import (
	"time"

	"gentianstand/internal/runner"
)

// life is what is known of a worker's present incarnation. Nothing of it holds for the next
// one, which counts its ends and its time anew.
type life struct {
	// incarnation names it, or is 0 before the worker has told.
	incarnation runner.Incarnation
	// knownSince is when the cell learned of it. before is the one in whose place it came,
	// or 0.
	knownSince time.Time
	before     runner.Incarnation
	// reported says that it answered a look under this ownership since it was
	// last taken as lapsed; its books are complete only then.
	reported   bool
	lastReport time.Time
	failingAt  time.Time
	// failedLooks counts the looks without an answer since the last report.
	failedLooks int
	// clock is the worker's clock at clockAt on ours.
	clock   time.Duration
	clockAt time.Time
	// leaseEnd is the latest lease end that was ever sent, on its clock.
	leaseEnd time.Duration
	// seen is the highest end taken in; acked the highest that is stored.
	seen  uint64
	acked uint64
	// drainSeen is when it said that it drains.
	drainSeen time.Time
	health    health
}
