package cell

import (
	"testing"
	"time"

	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
)

// Guards against dropping what runs on a worker that is back from its upkeep under its id: an
// order that was repeated is answered late.
func TestLateAnswerToAnUpkeepEndsOnlyTheLifeBefore(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	orderedAt := s.now
	s.pass(3 * time.Second)
	next := usualWorker("a")
	next.Born = runner.Born(s.now.UnixMilli())
	s.cell.UpdateRoster(roster.Change{Workers: []roster.Worker{next}}, s.now)
	s.commit()
	s.born["a"] = next.Born
	s.report("a")
	s.cell.Add(s.record(1, step(2)), true)
	for _, o := range s.plan() {
		s.confirm(o)
	}
	s.cell.Ended("a", orderedAt, s.now)
	if load := s.cell.WorkerLoad("a"); load.Runs != 2 {
		t.Errorf("%d runs are booked, want 2", load.Runs)
	}
}

// Guards against a worker that is never used again after its upkeep.
func TestWorkerIsUsedAgainAfterItsUpkeep(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	s.cell.Ended("a", s.now, s.now)
	s.pass(2 * time.Second)
	next := usualWorker("a")
	next.Born = runner.Born(s.now.UnixMilli())
	s.cell.UpdateRoster(roster.Change{Workers: []roster.Worker{next}}, s.now)
	s.commit()
	s.born["a"] = next.Born
	s.report("a")
	s.cell.Add(s.record(1, step(2)), true)
	if starts := s.plan(); len(starts) != 2 {
		t.Errorf("%d starts, want 2", len(starts))
	}
}
