package cell

import (
	"fmt"
	"testing"
	"time"

	"gentianstand/internal/job"
)

// Guards against tasks that crash most workers at a time, and are started again for good because the
// owner takes its own network for the cause.
func TestTasksThatCrashMostWorkersFail(t *testing.T) {
	const workers = 12
	every := make([]int, 3*workers)
	for i := range every {
		every[i] = i
	}
	for kind, step := range map[string]func(int) job.Step{"may run twice": mayRunTwice, "once": once, "long-running": longRunningStep} {
		for _, restartAfter := range []time.Duration{3 * time.Second, 5 * time.Second, 12 * time.Second} {
			for _, newAddress := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, restart after %v, new address %v", kind, restartAfter, newAddress), func(t *testing.T) {
					t.Parallel()
					w := newCrashWorld(t, workers)
					w.restartAfter, w.newAddress = restartAfter, newAddress
					w.run(100*time.Millisecond, nil)
					id := w.submit(0, step(len(every)), every...)
					w.runUntilEnded(time.Minute, nil)
					w.checkPoison()
					w.checkState(id, job.Failed)
				})
			}
		}
	}
}

// Guards against sound jobs that are given up, and crash histories that stay, because the owner repeatedly
// reaches no worker, or few, for longer than their leases.
func TestOwnerThatReachesFewWorkersForLongFailsNoJob(t *testing.T) {
	// After allBack of a period each worker has answered again.
	const period, outages, unreachedFor, allBack = 8 * time.Second, 8, 5 * time.Second, 5050 * time.Millisecond
	// Its runs outlast the leases, and start again when the workers are back.
	long := once(6)
	long.Estimate = 4 * time.Second
	for _, unreached := range []int{7, 12} {
		t.Run(fmt.Sprintf("%d of 12 workers", unreached), func(t *testing.T) {
			t.Parallel()
			w := newCrashWorld(t, 12)
			var jobs []string
			w.run(outages*period, func() {
				elapsed := w.now.Sub(siteStart)
				if w.rnd.Intn(40) == 0 {
					jobs = append(jobs, w.submit(0, []job.Step{mayRunTwice(6), once(6), long}[w.rnd.Intn(3)]))
				}
				for n, id := range w.workerIDs() {
					// Other workers are out of reach each time.
					turn := (n + 5*int(elapsed/period)) % 12
					w.states[id].unreachable = elapsed%period < unreachedFor && turn < unreached
				}
				if inPeriod := elapsed % period; inPeriod >= allBack && inPeriod < allBack+loadTick {
					w.checkNoLosses()
				}
			})
			for _, state := range w.states {
				state.unreachable = false
			}
			w.runUntilEnded(time.Minute, nil)
			for _, id := range jobs {
				w.checkState(id, job.Completed)
			}
			if w.cell.stats.PoisonJobs > 0 {
				t.Errorf("%d jobs are given up", w.cell.stats.PoisonJobs)
			}
		})
	}
}

// checkNoLosses checks that no lost worker counts for a task.
func (w *crashWorld) checkNoLosses() {
	w.t.Helper()
	for id, j := range w.cell.active {
		for _, task := range j.stages[0].tasks {
			if n := task.crashes.losses(); n > 0 {
				w.t.Errorf("%d lost workers count for a task of %s at %v", n, id, w.now.Sub(siteStart))
			}
		}
	}
}
