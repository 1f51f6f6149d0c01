package cell

import (
	"testing"

	"gentianstand/internal/runner"
)

// Guards against a step that runs again after it was done, and the next one with it: the end was lost
// with its worker, but a run of the next step shows that an earlier owner had seen it.
func TestStepBeforeAStartedOneIsNotRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		duplicates bool
		know       func(s *site, second string)
	}{
		"run that is reported": {false, func(s *site, second string) {
			s.runs["b"] = []runner.RunState{{Task: second, Run: 1, Percent: 10}}
		}},
		"run that has failed": {false, func(s *site, second string) { s.end("b", second, 1, runner.Failed) }},
		"run of a step that may run twice, stored with its cordoned worker": {true, func(s *site, second string) {
			s.cell.LoadWorkers([]KnownWorker{{ID: "c", Address: "c:1", Cordoned: true, Runs: []KnownRun{{Task: second, Run: 1}}}}, s.now)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
			s.cell.settings.PreviousOwnerStopped = true
			r, first, second := s.twoSteps()
			r.Steps[1].AllowDuplicates = c.duplicates
			s.cell.Load(r, nil)
			c.know(s, second)
			s.report("a")
			s.report("b")
			if again, ok := s.plan()[first]; ok {
				t.Errorf("run %d of the first step was started although the second one was", again.Start.Run)
			}
			s.commit()
			if !s.cell.jobs[r.ID].stages[0].isDone() {
				t.Error("the first step does not count as done")
			}
		})
	}
}
