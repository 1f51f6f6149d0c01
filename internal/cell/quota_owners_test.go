package cell

import (
	"testing"
	"time"
)

// Failure: a lasting task of a workspace that uses its quota stays away as long as owners hand
// the cell over beside a worker that does not answer.
func TestHandOversDoNotProlongTheQuotaUseOfAnUnresponsiveWorker(t *testing.T) {
	const again = 2 * time.Second
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	s.configure(1, "north", cores(1))
	lasting := step(1)
	lasting.LongRunning = true
	r := s.recordOf("north", 1, lasting)
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
