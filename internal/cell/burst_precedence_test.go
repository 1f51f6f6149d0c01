package cell

import (
	"testing"
	"time"
)

// Guards against a burst of new long-running jobs that keeps other work from the adviser.
func TestBurstOfNewLongRunningJobsLeavesASlotToOtherWork(t *testing.T) {
	l, _ := longRunningLoad(t)
	l.adviser.slots.Any = 2
	for range 60 {
		l.submit("watch", 1, longRunning(1, 0))
	}
	last, next, started, longest := l.now, l.now, len(l.firstStart), time.Duration(0)
	count := func() int {
		n := 0
		for id := range l.firstStart {
			if j := l.cell.jobs[id]; j != nil && !j.record.Steps[0].LongRunning {
				n++
			}
		}
		return n
	}
	started = count()
	l.run(40*time.Second, func() {
		if !l.now.Before(next) {
			next = next.Add(500 * time.Millisecond)
			l.submit("work", 1, step(1))
		}
		if n := count(); n > started {
			last, started = l.now, n
		}
		longest = max(longest, l.now.Sub(last))
	})
	if longest > 6*time.Second {
		t.Errorf("no other work was started for %v", longest)
	}
}
