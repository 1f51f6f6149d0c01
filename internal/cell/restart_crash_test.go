package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
)

// Guards against poison tasks that are started without limit because a worker that restarts under
// its id counts as one that did not crash.
func TestPoisonTaskFailsWhenWorkersRestartUnderTheirIDs(t *testing.T) {
	steps := map[string]job.Step{"may run twice": mayRunTwice(12), "once": once(12), "long-running": longRunningStep(6)}
	for name, s := range steps {
		for _, back := range []time.Duration{20 * time.Millisecond, 600 * time.Millisecond, 3 * time.Second} {
			t.Run(name+" "+back.String(), func(t *testing.T) {
				w := newCrashWorld(t, 24)
				w.sameIDs, w.restartAfter = true, back
				poison := w.submit(0, s, 0)
				others := w.runWithBackgroundJobs(40*time.Second, nil)
				w.checkPoison()
				w.checkState(poison, job.Failed)
				w.runUntilEnded(time.Minute, nil)
				for _, id := range others {
					w.checkState(id, job.Completed)
				}
			})
		}
	}
}

// Guards against the same when the owner is lost, too: what is stored of an unresponsive worker
// refers to one incarnation.
func TestPoisonTaskFailsUnderTheNextOwnerOfRestartedWorkers(t *testing.T) {
	w := newCrashWorld(t, 24)
	w.sameIDs, w.restartAfter = true, 600*time.Millisecond
	poison := w.submit(0, mayRunTwice(12), 0)
	takeOvers := 0
	w.runWithBackgroundJobs(40*time.Second, func() {
		if takeOvers < 2 && w.maxCrashesUnder(poison) > takeOvers && w.rnd.Intn(20) == 0 {
			takeOvers++
			w.takeOver()
		}
	})
	w.checkPoison()
	w.checkState(poison, job.Failed)
}
