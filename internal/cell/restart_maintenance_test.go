package cell

import "testing"

// returnFromMaintenance has a worker register and report under its old id.
func (s *site) returnFromMaintenance(id string) {
	s.register(s.restart(id))
	s.commit()
	s.report(id)
}

// Guards against dropping the runs of a worker that has returned from maintenance under its id: the
// answer to a repeated order arrives late.
func TestLateAnswerToAMaintenanceOrderEndsOnlyTheEarlierIncarnation(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	orderedAt := s.now
	s.returnFromMaintenance("a")
	s.cell.Add(s.record(1, step(2)), true)
	for _, o := range s.plan() {
		s.confirm(o)
	}
	s.cell.WorkerTerminated("a", orderedAt, s.now)
	if load := s.cell.WorkerLoad("a"); load.Runs != 2 {
		t.Errorf("%d runs are accounted, want 2", load.Runs)
	}
}

// Guards against a worker that is never used again after its maintenance.
func TestWorkerIsUsedAgainAfterMaintenance(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	s.cell.WorkerTerminated("a", s.now, s.now)
	s.returnFromMaintenance("a")
	if n := s.startsOfNewJob(1, 2); n != 2 {
		t.Errorf("%d starts, want 2", n)
	}
}
