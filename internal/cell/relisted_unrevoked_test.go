package cell

import (
	"testing"
	"time"

	"gentianstand/internal/roster"
)

// Guards against a second run by a late start on a worker that left the roster and came back.
func TestLeaseOfARelistedWorkerIsNotExtendedBeforeItsStartsAreRevoked(t *testing.T) {
	s := newStopsUnansweredSite(t)
	began := s.now
	s.cell.SetRoster([]roster.Worker{usualWorker("b")}, s.now)
	s.advanceUnresponsive("a", 4500*time.Millisecond, "b")
	_, known := s.cell.workers["a"]
	s.cell.SetRoster([]roster.Worker{usualWorker("a"), usualWorker("b")}, s.now)
	s.commit()
	s.leaseEnd = 0
	for range 10 {
		s.round()
		s.commit()
	}
	a := s.cell.taskByName(s.task).attempts
	if s.leaseEnd != 0 {
		t.Fatalf("the lease of a was extended %v after the unanswered start, which may be late (a was forgotten: %v; the task has %d run, on %s)",
			s.now.Sub(began), !known, len(a), a[0].worker.ID)
	}
}
