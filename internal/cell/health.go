package cell

import "time"

const (
	// badStreak is how many runs of different jobs have to fail or stall on a
	// worker in a row before it is avoided. Jobs fail by their own fault in a few
	// percent of runs, so three in a row of different jobs are the worker's.
	badStreak = 3
	// avoidFor is how long a bad worker gets no new runs; then it is tried again.
	avoidFor = 6 * time.Second
	// refusedFor is how long a worker that declined a start is avoided.
	refusedFor = 500 * time.Millisecond
	// soundAfter is how long a lasting run must have been going to count as a success: a
	// worker that fails all does so sooner.
	soundAfter = 6 * time.Second
	// tryAfter is how long after the last failure lasting tasks are tried on a bad worker.
	tryAfter = time.Second
)

// health judges a worker by how runs end there.
type health struct {
	streak     int
	lastJob    string
	avoidUntil time.Time
	// failedAt is when a run last failed or stalled, declinesUntil the end of the pause
	// after a start that was declined.
	failedAt      time.Time
	declinesUntil time.Time
}

// showsSoundWorker reports whether a lasting run, which never ends as done, was at work for
// so long that its worker does not fail all that it starts.
func (a *attempt) showsSoundWorker(now time.Time) bool {
	return a.task.stage.step.LongRunning && a.percent >= atWork && now.Sub(a.confirmedAt) >= soundAfter
}

func (h *health) succeeded() {
	h.streak = 0
	h.lastJob = ""
}

// failed counts a failed or stalled run. Failures of one job count once.
func (h *health) failed(jobID string, now time.Time) {
	h.failedAt = now
	if h.lastJob == jobID {
		return
	}
	h.lastJob = jobID
	h.streak++
	if h.streak >= badStreak {
		// One more failure after the pause is enough to avoid it again.
		h.streak = badStreak - 1
		h.avoidUntil = now.Add(avoidFor)
	}
}

func (h *health) refused(now time.Time) { h.declinesUntil = now.Add(refusedFor) }

func (h *health) avoided(now time.Time) bool {
	return now.Before(h.avoidUntil) || now.Before(h.declinesUntil)
}

// mayTry reports whether a lasting task may be tried on a worker that is avoided. Its
// failures use up no attempts.
func (h *health) mayTry(now time.Time) bool {
	return !now.Before(h.declinesUntil) && now.Sub(h.failedAt) >= tryAfter
}
