package cell

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gentianstand/internal/runner"
)

// Guards against long-running tasks that stay down because most of the adviser's slots are kept for
// other work when many of them are lost at once.
func TestManyLostLongRunningTasksRestartBesideOtherWork(t *testing.T) {
	const stages = 24
	for name, slots := range map[string]AdviceSlots{
		"three slots for slow calls":             {Quick: 4, Any: 3},
		"two slots, one instance without a call": {Quick: 2, Any: 2, IdleQuick: 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := newAdvisedLoad(t, slots.Any, 1)
			l.adviser.slots = slots
			l.workingAfter = 500 * time.Millisecond
			var jobs []string
			for range stages {
				s := longRunning(6, 0)
				s.Need.MilliCPU = 2000
				jobs = append(jobs, l.submit("watch", 1, s))
			}
			l.run(20*time.Second, nil)
			checker := newDowntimeChecker(l, jobs)
			checker.check()
			l.failAll()
			l.run(maxDownSinceLastRun+minFreeTime, func() {
				submitMixed(l)
				checker.check()
			})
			if len(checker.violations) > 0 {
				t.Errorf("%d tasks were down although there was free capacity for two: %v", len(checker.violations), checker.violations)
			}
		})
	}
}

// failAll ends all runs as failed.
func (l *load) failAll() {
	for _, id := range l.workerIDs() {
		w := l.workers[id]
		for _, task := range slices.Sorted(maps.Keys(w.runs)) {
			w.end(task, w.runs[task].run, runner.Failed)
		}
	}
}
