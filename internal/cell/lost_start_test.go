package cell

import (
	"slices"
	"testing"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// Guards against a task that backs off, and may fail, for the loss of a worker that answers the next
// owner: the start on it was never confirmed.
func TestLossOfAnUnconfirmedStartIsRevertedByTheNextOwner(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"), usualWorker("c"))
	r := s.record(1, step(1))
	for _, id := range []string{"a", "b", "c"} {
		s.report(id)
	}
	s.cell.Add(r, true)
	o := s.plan()[r.ID+".0.0.0"]
	s.cell.StartAnswered(o, runner.Answer{}, runner.ErrNoAnswer, s.now)
	others := slices.DeleteFunc([]string{"a", "b", "c"}, func(id string) bool { return id == o.Worker.ID })
	s.advanceUnresponsive(o.Worker.ID, 2*unresponsiveAfter, others...)
	task := s.cell.taskByName(o.Start.Task)
	if got := task.crashes.losses(); got != 1 {
		t.Fatalf("%d losses at the first owner, want 1", got)
	}
	stored := encodeAndDecode(t, task.stage.job.progress())
	s.takeOverFrom(r, stored)
	s.report(o.Worker.ID)
	if got := s.cell.taskByName(o.Start.Task).crashes.losses(); got != 0 {
		t.Errorf("%d losses after the worker has answered the next owner, want none", got)
	}
}

// takeOverFrom has a new owner load a job with its progress, and the known workers.
func (s *site) takeOverFrom(r *job.Record, p *job.Progress) {
	settings := s.cell.settings
	settings.Term++
	s.cell = New(settings, s.now, quietLog())
	s.cell.Load(r, p)
	for _, known := range s.chunks {
		s.cell.LoadWorkers(known, s.now)
	}
	s.cell.WorkersLoaded()
}
