package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// silentFor lets time pass while a worker answers no look, and the others do.
func (s *site) silentFor(id string, d time.Duration, others ...string) map[string]StartOrder {
	started := map[string]StartOrder{}
	for end := s.now.Add(d); s.now.Before(end); {
		if _, _, ok := s.cell.NextLook(id, s.now); ok {
			s.cell.LookFailed(id, runner.ErrNoAnswer, s.now)
		}
		for _, other := range others {
			s.report(other)
		}
		s.pass(watchPeriod)
		for task, o := range s.plan() {
			s.confirm(o)
			started[task] = o
		}
		s.commit()
	}
	return started
}

// takeOver has a new owner load a job and the known workers.
func (s *site) takeOver(r *job.Record, workers ...string) {
	settings := s.cell.settings
	settings.Term++
	s.cell = New(settings, s.now, quietLog())
	s.cell.Load(r, nil)
	for _, id := range workers {
		s.cell.register(usualWorker(id), s.now)
	}
	for _, known := range s.chunks {
		s.cell.Inherit(known, s.now)
	}
	s.cell.InheritedAll()
}

// Failure: a task runs twice after two take-overs beside a worker that is cut off.
func TestAnOwnerThatNeverHeardAWorkerDoesNotTellTheNextOneWhatRunsThere(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	s.report("a")
	s.commit()
	r := s.record(1, step(1))
	s.cell.Add(r, true)
	task := r.ID + ".0.0.0"
	first := s.plan()[task]
	s.confirm(first)
	s.report("a")
	s.commit()
	lease := s.now.Add(s.cell.settings.Lease)
	s.takeOver(r, "a", "b")
	if again, ok := s.silentFor("a", time.Second, "b")[task]; ok {
		t.Fatalf("run %d was started after one take-over", again.Start.Run)
	}
	s.takeOver(r, "a", "b")
	if again, ok := s.silentFor("a", lease.Sub(s.now), "b")[task]; ok {
		t.Errorf("run %d was started on %s while run %d may go on on a", again.Start.Run, again.Worker.ID, first.Start.Run)
	}
}
