package cell

import (
	"time"

	"gentianstand/internal/runner"
)

// incarnationState is what is known of a worker's present incarnation. Nothing of it holds for the next
// one, which counts its ends and its time anew.
type incarnationState struct {
	// incarnation names it, or is 0 before the worker has told.
	incarnation runner.Incarnation
	// knownSince is when the cell learned of it. before is the one in whose place it came,
	// or 0.
	knownSince time.Time
	previous   runner.Incarnation
	// reported says that it answered a look under this ownership since it was
	// last taken as lapsed; its books are complete only then.
	reported          bool
	lastReport        time.Time
	unresponsiveSince time.Time
	// failedPolls counts the looks without an answer since the last report.
	failedPolls int
	// clock is the worker's clock at clockAt on ours.
	clock   time.Duration
	clockAt time.Time
	// leaseEnd is the latest lease end that was ever sent, on its clock.
	leaseEnd time.Duration
	// seenEnd is the highest end taken in; acked the highest that is stored.
	seenEnd  uint64
	ackedEnd uint64
	// drainingSince is when it said that it drains.
	drainingSince time.Time
	health        health
}
