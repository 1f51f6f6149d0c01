package cell

import (
	"testing"
	"time"
)

// Guards against a long-running task of a workspace at its quota that stays down as long as the
// cell is handed over while its worker is unresponsive: each new owner counts the worker's unknown
// runs against the quota again.
func TestHandOversDoNotProlongTheQuotaUseOfAnUnresponsiveWorker(t *testing.T) {
	const again = 2 * time.Second
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	s.configure(1, "north", cores(1))
	longRunning := step(1)
	longRunning.LongRunning = true
	r := s.recordOf("north", 1, longRunning)
	s.report("a")
	s.cell.Add(r, true)
	task := r.ID + ".0.0.0"
	s.confirm(s.plan()[task])
	s.report("a")
	s.commit()
	s.cell.settings.PreviousOwnerStopped = true
	limit := s.cell.earlierLeaseLimit() + 500*time.Millisecond
	began, next := s.now, s.now.Add(again)
	for s.now.Sub(began) < 20*time.Second {
		if !s.now.Before(next) {
			s.handOver(r, "a", "b")
			s.configure(1, "north", cores(1))
			next = s.now.Add(again)
		}
		if _, ok := s.advanceUnresponsive("a", watchPeriod, "b")[task]; ok {
			break
		}
	}
	if took := s.now.Sub(began); took > limit {
		t.Errorf("started after %v, want %v at most", took, limit)
	}
}
