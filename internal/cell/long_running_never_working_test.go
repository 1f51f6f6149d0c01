package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// otherWorkGap is the longest time without a start of other work.
const otherWorkGap = 6 * time.Second

// failOldRuns ends the runs of jobs with one task as failed once they are a second old.
func (l *load) failOldRuns(ids []string) {
	for _, id := range ids {
		task := job.TaskID{Job: id}.String()
		for _, w := range l.workers {
			if r := w.runs[task]; r != nil && l.now.Sub(r.began) >= time.Second {
				w.end(task, r.run, runner.Failed)
			}
		}
	}
}

// Guards against long-running tasks that never work and keep other work from the adviser.
func TestLongRunningTasksThatNeverWorkLeaveASlotToOtherWork(t *testing.T) {
	l, _ := longRunningLoad(t)
	l.adviser.slots.Any = 2
	var ids []string
	for range 9 {
		ids = append(ids, l.submit("watch", 1, longRunning(1, 0)))
	}
	l.run(20*time.Second, nil)
	last, next, started, longest := l.now, l.now, len(l.firstStart), time.Duration(0)
	l.run(30*time.Second, func() {
		l.failOldRuns(ids)
		if !l.now.Before(next) {
			next = next.Add(normalInterval)
			l.submit("work", 1, step(1))
		}
		if len(l.firstStart) > started {
			last, started = l.now, len(l.firstStart)
		}
		longest = max(longest, l.now.Sub(last))
	})
	if longest > otherWorkGap {
		t.Errorf("no other work was started for %v", longest)
	}
}
