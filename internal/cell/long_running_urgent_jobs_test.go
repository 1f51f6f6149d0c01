package cell

import (
	"testing"
	"time"
)

// Guards against urgent jobs that get no advice, after a restart of all instances, until the
// adviser was asked about all long-running tasks.
func TestUrgentJobsAreAskedAboutBesideManyLongRunningTasks(t *testing.T) {
	const longRunningStages, limit = 40, 2 * time.Second
	l, _ := longRunningLoad(t)
	for range longRunningStages {
		l.submit("watch", 1, longRunning(1, 0))
	}
	l.step()
	urgent := l.submit("work", 0, step(1))
	began := l.now
	for l.firstStart[urgent].IsZero() && l.now.Sub(began) < time.Minute {
		l.step()
	}
	if took := l.now.Sub(began); took > limit {
		t.Errorf("the urgent job started after %v, want %v at most", took, limit)
	}
}
