package cell

import "time"

const (
	// avoidAfterFailures is how many runs of different jobs have to fail or stall on a
	// worker in a row before it is avoided. Jobs fail by their own fault in a few
	// percent of runs, so three in a row of different jobs are the worker's.
	avoidAfterFailures = 3
	// avoidPeriod is how long a bad worker gets no new runs; then it is tried again.
	avoidPeriod = 6 * time.Second
	// refusalPeriod is how long a worker that declined a start is avoided.
	refusalPeriod = 500 * time.Millisecond
	// healthyAfter is how long a lasting run must have been going to count as a success: a
	// worker that fails all does so sooner.
	healthyAfter = 6 * time.Second
	// trialDelay is how long after the last failure lasting tasks are tried on a bad worker.
	trialDelay = time.Second
)

// health judges a worker by how runs end there.
type health struct {
	failureStreak int
	lastJob       string
	avoidUntil    time.Time
	// failedAt is when a run last failed or stalled, declinesUntil the end of the pause
	// after a start that was declined.
	failedAt     time.Time
	refusalUntil time.Time
}

// provesWorkerHealthy reports whether a lasting run, which never ends as done, was at work for
// so long that its worker does not fail all that it starts.
func (a *attempt) provesWorkerHealthy(now time.Time) bool {
	return a.task.stage.step.LongRunning && a.percent >= workingPercent && now.Sub(a.confirmedAt) >= healthyAfter
}

func (h *health) succeeded() {
	h.failureStreak = 0
	h.lastJob = ""
}

// failed counts a failed or stalled run. Failures of one job count once.
func (h *health) failed(jobID string, now time.Time) {
	h.failedAt = now
	if h.lastJob == jobID {
		return
	}
	h.lastJob = jobID
	h.failureStreak++
	if h.failureStreak >= avoidAfterFailures {
		// One more failure after the pause is enough to avoid it again.
		h.failureStreak = avoidAfterFailures - 1
		h.avoidUntil = now.Add(avoidPeriod)
	}
}

func (h *health) refused(now time.Time) { h.refusalUntil = now.Add(refusalPeriod) }

func (h *health) avoided(now time.Time) bool {
	return now.Before(h.avoidUntil) || now.Before(h.refusalUntil)
}

// allowsTrial reports whether a lasting task may be tried on a worker that is avoided. Its
// failures use up no attempts.
func (h *health) allowsTrial(now time.Time) bool {
	return !now.Before(h.refusalUntil) && now.Sub(h.failedAt) >= trialDelay
}
