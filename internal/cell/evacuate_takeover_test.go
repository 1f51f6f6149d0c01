package cell

import (
	"testing"
	"time"

	"gentianstand/internal/runner"
)

// Guards against too many tasks of a step that are down together: the previous owner has ordered the
// stop of one, which its worker still reports as running, and the new owner moves another.
func TestEvacuationCountsStopsOfThePreviousOwner(t *testing.T) {
	workers := []string{"a", "b", "c"}
	s := newSiteWith(t, Settings{Term: 2, Lease: 3500 * time.Millisecond, StopGrace: 900 * time.Millisecond, PreviousOwnerStopped: true},
		usualWorker("a"), usualWorker("b"), usualWorker("c"))
	r := s.record(1, longRunning(2, 1))
	stopping, working := r.ID+".0.0.0", r.ID+".0.0.1"
	s.runs["a"] = []runner.RunState{{Task: stopping, Run: 1, Percent: workingPercent}}
	s.runs["b"] = []runner.RunState{{Task: working, Run: 1, Percent: workingPercent}}
	s.cell.Load(r, nil)
	s.reportAndPlan(workers...)
	s.cell.SetEvacuating([]string{"b"})
	ended := s.now.Add(s.cell.settings.StopGrace)
	for s.now.Before(ended) {
		s.reportAndPlan(workers...)
		if s.stops()["b"] {
			t.Fatalf("the task on b is stopped %v before that on a has ended", ended.Sub(s.now))
		}
	}
	s.end("a", stopping, 1, runner.Stopped)
	starts := s.reportAndPlan(workers...)
	s.confirm(starts[stopping])
	s.progress(starts[stopping], workingPercent)
	s.reportAndPlan(workers...)
	if !s.stops()["b"] {
		t.Error("the task on b is not moved although the other one works again")
	}
}
