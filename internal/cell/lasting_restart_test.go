package cell

import (
	"testing"
	"time"
)

// Failure: after a restart of everything, urgent jobs get no answer of the adviser until it was
// asked about all lasting tasks.
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
		t.Errorf("the urgent job began after %v, want %v at most", took, limit)
	}
}
