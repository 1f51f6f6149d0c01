package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
)

// lessUrgentStartLimit is the longest wait of a less urgent job that has free workers.
const lessUrgentStartLimit = 10 * time.Second

// Guards against work that is not started, although workers are free, as long as more urgent stages keep
// the only slot of the adviser busy.
func TestLessUrgentWorkIsAskedAboutWithOneAdviserSlot(t *testing.T) {
	l := newAdvisedLoad(t, 1, 1)
	l.adviser.slots.Quick = 0
	l.advice["rebuild"] = &job.AdviceCost{PerCall: 150 * time.Millisecond, PerWorker: 2 * time.Millisecond, TicketTTL: 2 * time.Second}
	next := l.now
	submitUrgent := func() {
		if !l.now.Before(next) {
			next = next.Add(500 * time.Millisecond)
			l.submit("slow", 1, step(1))
		}
	}
	l.run(5*time.Second, submitUrgent)
	id := l.submit("rebuild", 2, step(14))
	l.run(lessUrgentStartLimit, submitUrgent)
	if _, started := l.firstStart[id]; !started {
		t.Errorf("not started within %v, while workers are free", lessUrgentStartLimit)
	}
}
