package cell

import (
	"time"

	"gentianstand/internal/workerspeed"
)

// phase is the state of a run as known to the cell.
type phase int

const (
	// ordered means that the start was sent but is not confirmed.
	ordered phase = iota
	// running means that the worker confirmed the start or reported the run.
	running
	// stopping means that the run must end. The stop is repeated until it is answered.
	stopping
)

// attempt is one run of a task on a worker. It occupies capacity there until its end is
// certain.
type attempt struct {
	task   *task
	run    uint64
	worker *worker
	phase  phase
	// orderedAt is when the start was sent, or when the run was first reported.
	orderedAt time.Time
	// fromScratch is set if this owner started the run without a checkpoint.
	fromScratch bool
	// inherited is set if the run is known only from the store, so that it may have ended.
	inherited bool
	// adopted is set if another owner started the run.
	adopted bool
	// mayBeStopping is set while a previous owner may have ordered the end of the run. Its worker
	// still reports it as running until it has ended.
	mayBeStopping bool
	// confirmedAt is when the worker answered the start or first reported the run.
	confirmedAt time.Time
	// seenRunningAt is when the last poll was sent whose answer listed the run as running.
	seenRunningAt time.Time
	// survived is set once the run has worked for survivedAfter without crashing its worker.
	survived bool
	// percent is the last reported progress, and progressedAt is when it last changed.
	percent      int
	progressedAt time.Time
	// gauge is the measurement that the run last reported: the tail latency in milliseconds of
	// a latency-sensitive task, the thousandths of a core in use of any other task. See
	// runner.RunState.
	gauge float64
	// speedPercent is the share of its full speed that the run is allowed.
	speedPercent int
	throttledAt  time.Time
	// firstStopAt, stopSentAt and stopAnsweredAt are zero until a stop is sent first, sent last, or
	// answered.
	firstStopAt    time.Time
	stopSentAt     time.Time
	stopAnsweredAt time.Time
	// reportedAfterStop is set if a poll that was sent after the stop's answer still returned
	// the run, so that the worker will list its end.
	reportedAfterStop bool
	// slow is set if another run of the task would end sooner. It is used only for tasks that
	// allow duplicates; slow runs of other tasks are stopped.
	slow bool
	// blamed is set once the run was counted against its worker's health.
	blamed bool
	// speed is what the run tells about its worker's speed.
	speed workerspeed.Run
	// speedAtStart is what was known of the worker when the start was confirmed.
	speedAtStart speedView
	// elsewhereAt is when it was last checked which worker another run would get.
	elsewhereAt time.Time
	// preemptedFor is the stage for which the run was preempted, or nil.
	preemptedFor *stage
	// freedTasks is the number of tasks of that stage that the stop frees capacity for.
	freedTasks int
	// checkpointAt is when the run first reported its last checkpoint, or zero.
	checkpointAt time.Time
}

// elapsed returns the time since the run was ordered.
func (a *attempt) elapsed(now time.Time) time.Duration { return now.Sub(a.orderedAt) }

// lastSeenAt returns the latest time after which the run is known to have existed. It is zero for
// a run that is known only from the store.
func (a *attempt) lastSeenAt() time.Time {
	if !a.adopted && a.orderedAt.After(a.seenRunningAt) {
		return a.orderedAt
	}
	return a.seenRunningAt
}

// source returns how the cell last learned of the run, for the log.
func (a *attempt) source() string {
	switch {
	case !a.seenRunningAt.IsZero():
		return "report"
	case a.adopted:
		return "store"
	}
	return "order"
}
