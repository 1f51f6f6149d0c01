package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// maxLostLogged bounds the log lines about the runs lost with one worker.
const maxLostLogged = 5

// logLost logs the youngest runs that are lost with a worker, and how long each had worked
// when the worker became unresponsive. A run that crashes its worker is always one of them.
func (c *Cell) logLost(w *worker, reason string) {
	runs := make([]*attempt, 0, len(w.attempts))
	for a := range w.attempts {
		runs = append(runs, a)
	}
	slices.SortFunc(runs, func(a, b *attempt) int {
		return cmp.Or(b.orderedAt.Compare(a.orderedAt), cmp.Compare(a.task.index, b.task.index))
	})
	for _, a := range runs[:min(len(runs), maxLostLogged)] {
		c.log.WithFields(attemptFields(a)).WithFields(logrus.Fields{"why": reason, "confirmed": !a.confirmedAt.IsZero(),
			"work_ms": w.workedFor(a).Milliseconds()}).Info("run_lost")
	}
}

// workedFor returns how long a run is known to have worked before its worker became
// unresponsive.
func (w *worker) workedFor(a *attempt) time.Duration {
	if a.confirmedAt.IsZero() {
		return 0
	}
	return max(0, w.lastReport.Sub(a.confirmedAt))
}
