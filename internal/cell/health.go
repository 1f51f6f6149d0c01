package cell

import "time"

const (
	// avoidAfterFailures is how many consecutive runs of different jobs must fail or stall on
	// a worker before it is avoided. A few percent of runs fail through their own fault, so 3
	// consecutive failures of different jobs indicate a faulty worker.
	avoidAfterFailures = 3
	// avoidPeriod is how long a faulty worker gets no new runs before it is tried again.
	avoidPeriod = 6 * time.Second
	// refusalPeriod is how long a worker is avoided after it refused a start.
	refusalPeriod = 500 * time.Millisecond
	// healthyAfter is how long a long-running run must have worked to count as a success. A
	// worker that fails every run does so sooner.
	healthyAfter = 6 * time.Second
	// trialDelay is the time after the last failure before long-running tasks are tried on an
	// avoided worker.
	trialDelay = time.Second
)

// health rates a worker by how runs end there.
type health struct {
	failureStreak int
	lastJob       string
	avoidUntil    time.Time
	// failedAt is when a run last failed or stalled. refusalUntil is when the pause after a
	// refused start ends.
	failedAt     time.Time
	refusalUntil time.Time
}

// provesWorkerHealthy reports whether a long-running run, which never ends successfully, has
// worked long enough to show that its worker does not fail every run.
func (a *attempt) provesWorkerHealthy(now time.Time) bool {
	return a.task.stage.step.LongRunning && a.percent >= workingPercent && now.Sub(a.confirmedAt) >= healthyAfter
}

func (h *health) succeeded() {
	h.failureStreak = 0
	h.lastJob = ""
}

// failed counts a failed or stalled run. Consecutive failures of one job count once.
func (h *health) failed(jobID string, now time.Time) {
	h.failedAt = now
	if h.lastJob == jobID {
		return
	}
	h.lastJob = jobID
	h.failureStreak++
	if h.failureStreak >= avoidAfterFailures {
		// One more failure after the pause is enough to avoid the worker again.
		h.failureStreak = avoidAfterFailures - 1
		h.avoidUntil = now.Add(avoidPeriod)
	}
}

func (h *health) refused(now time.Time) { h.refusalUntil = now.Add(refusalPeriod) }

func (h *health) avoided(now time.Time) bool {
	return now.Before(h.avoidUntil) || now.Before(h.refusalUntil)
}

// allowsTrial reports whether a long-running task may be tried on an avoided worker. Failures
// of such tasks use up no attempts.
func (h *health) allowsTrial(now time.Time) bool {
	return !now.Before(h.refusalUntil) && now.Sub(h.failedAt) >= trialDelay
}
