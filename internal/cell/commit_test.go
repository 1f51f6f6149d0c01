package cell

import (
	"testing"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// Guards against jobs that are shown as completed only seconds after their last task ended because
// the store is slow: their progress must be stored first.
func TestEndedJobsAreStoredFirst(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	var ended []string
	for n := range 8 {
		r := s.record(n+1, step(1))
		if n%4 > 0 {
			r.Steps = append(r.Steps, step(1))
			r.Steps[1].DependsOn = []int{0}
		} else {
			ended = append(ended, r.ID)
		}
		s.cell.Add(r, true)
	}
	for _, o := range s.plan() {
		s.confirm(o)
		s.finish(o, runner.Done)
	}
	s.report("a")
	commit := s.cell.NextCommit(2)
	s.cell.Committed(commit)
	for _, id := range ended {
		if state, _ := s.cell.State(id); state != job.Completed {
			t.Errorf("job %s is shown as %s after the first commit", id, state)
		}
	}
}
