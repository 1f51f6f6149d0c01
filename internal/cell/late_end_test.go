package cell

import (
	"testing"

	"gentianstand/internal/runner"
)

// Guards against a step that runs twice after a takeover: the previous owner ran the step before it
// again, learned late that its first run had succeeded, and started the step beside the second one.
func TestStepAfterALateEndStartsWhenNoRunBeforeItIsLeft(t *testing.T) {
	last := usualWorker("b")
	last.Labels = []string{"last"}
	s := newSite(t, 1, usualWorker("a"), last, usualWorker("c"))
	s.cell.settings.PreviousOwnerStopped = true
	r, first, second := s.twoSteps()
	r.Steps[0].RequiredLabel, r.Steps[1].RequiredLabel = "a", "last"
	s.report("a")
	s.report("b")
	s.cell.Add(r, true)
	s.confirm(s.plan()[first])
	s.report("a")
	again, ok := s.advanceUnresponsive("a", 2*s.cell.settings.Lease, "b", "c")[first]
	if !ok || again.Worker.ID != "c" {
		t.Fatal("the first step did not run again on c")
	}
	s.endAndReport("a", first, 1)
	_, started := s.plan()[second]
	s.takeOver(r, "a", "b", "c")
	s.cell.workers["b"].Worker = last
	s.report("c")
	s.endAndReport("c", first, again.Start.Run)
	s.cell.workers["c"].Labels = last.Labels
	if twice, ok := s.plan()[second]; started && ok {
		t.Errorf("run %d was started on c although the previous owner had started the step on b", twice.Start.Run)
	}
}

// Guards against a step that never starts after a late end of the step before it.
func TestStepAfterALateEndStartsAfterTheOtherRun(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	r, first, second := s.twoSteps()
	s.cell.Load(r, nil)
	s.runs["a"] = []runner.RunState{{Task: first, Run: 1, Percent: 10}}
	s.runs["b"] = []runner.RunState{{Task: first, Run: 2, Percent: 10}}
	s.report("a")
	s.report("b")
	s.endAndReport("a", first, 1)
	if o, ok := s.plan()[second]; ok {
		t.Fatalf("run %d was started while another run of the step before it is left", o.Start.Run)
	}
	s.end("b", first, 2, runner.Stopped)
	s.report("b")
	if _, ok := s.plan()[second]; !ok {
		t.Error("the step was not started although no run before it is left")
	}
}
