package cell

import "time"

// phase is how far a run has come, as far as the cell knows.
type phase int

const (
	// ordered means that the start was sent and is not confirmed.
	ordered phase = iota
	// running means that the worker answered the start or reported the run.
	running
	// stopping means that the run has to end: a stop is repeated until answered.
	stopping
)

// attempt is one run of a task on a worker. It occupies room there until its
// end is certain.
type attempt struct {
	task   *task
	run    uint64
	worker *worker
	phase  phase
	// orderedAt is when the start was sent, or the run was first reported.
	orderedAt time.Time
	// fromScratch says that the run was started here and without a checkpoint.
	fromScratch bool
	// inherited says that the run is known from the store alone: it may have ended.
	inherited bool
	// confirmedAt is when the worker answered the start.
	confirmedAt time.Time
	// survived says that it was seen at work for so long that it does not crash its worker.
	survived bool
	// percent and changedAt are the last reported progress and when it moved.
	percent      int
	progressedAt time.Time
	// tailLatencyMillis is the last reported figure; see runner.RunState.
	tailLatencyMillis float64
	// speedPercent is the share of its speed that the run is allowed.
	speedPercent int
	throttledAt  time.Time
	// stopSentAt and stopAnsweredAt are zero while there was none.
	stopSentAt     time.Time
	stopAnsweredAt time.Time
	// reportedAfterStop says that a report after the stop's answer still showed the
	// run, so that its end will be listed.
	reportedAfterStop bool
	// slow says that another run of the task would end sooner; only of tasks that may
	// run twice, runs of others are stopped.
	slow bool
	// blamed says that the run was counted against its worker's health.
	blamed bool
	// preemptedFor is the stage that the run was preempted for, or nil.
	preemptedFor *stage
}

// elapsed returns how long the run has been going on.
func (a *attempt) elapsed(now time.Time) time.Duration { return now.Sub(a.orderedAt) }
