package cell

import (
	"time"

	"gentianstand/internal/runner"
)

// incarnationState is what the cell knows about a worker's current incarnation. None of it
// applies to the next incarnation, whose end sequence and clock start over.
type incarnationState struct {
	// incarnation identifies the incarnation. It is 0 until the worker has reported it.
	incarnation runner.Incarnation
	// knownSince is when the cell learned of the incarnation. previous is the incarnation that
	// it replaced, or 0.
	knownSince time.Time
	previous   runner.Incarnation
	// reported is set once the worker has answered a poll under this ownership, and cleared
	// when its lease expires or it is parked. The accounting of its runs is complete only
	// while it is set.
	reported   bool
	lastReport time.Time
	// reportGap is the time between the last two reports.
	reportGap time.Duration
	// reportSentAt is when the poll was sent that the last report answers.
	reportSentAt      time.Time
	unresponsiveSince time.Time
	// failedPolls counts the unanswered polls since the last report.
	failedPolls int
	// unanswered is set if the last poll was not answered, not even with a refusal.
	unanswered bool
	// clock is the worker's clock at clockAt on the owner's clock.
	clock   time.Duration
	clockAt time.Time
	// leaseEnd is the latest lease end that was ever sent, on the worker's clock.
	leaseEnd time.Duration
	// seenEnd is the highest sequence number of a recorded end, and ackedEnd the highest that
	// is stored.
	seenEnd  uint64
	ackedEnd uint64
	// unstoredEnds are the recorded ends that are not acknowledged, oldest first.
	unstoredEnds []unstoredEnd
	// uncountedRuns are the runs that a previous owner stored and that the accounting omits, because
	// no task waits for their end. They stay in the worker's entry until they must have ended.
	uncountedRuns []KnownRun
	// unrevoked are the starts of dropped runs that may still arrive. Until the worker has answered
	// their stops, its lease is not extended and it gets no new runs: it might accept such a start
	// under a later lease.
	unrevoked map[runKey]*unrevokedStart
	// stopOverdue is set while the worker has not answered the stop of a run that it does not list.
	// lapsing is set while it has no other runs, or if a stop is unanswered for too long: its lease is not extended, so that the end of the
	// run is certain when the lease has expired.
	stopOverdue, lapsing bool
	// drainingSince is when the worker was first reported as draining.
	drainingSince time.Time
	health        health
}
