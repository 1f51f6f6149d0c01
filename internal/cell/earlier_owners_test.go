package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// Guards against a workspace that exceeds its quota after two takeovers in a row: each of the earlier
// owners may have started two runs of a task that may run twice.
func TestQuotaCountsCopiesOfSeveralEarlierOwners(t *testing.T) {
	s := newTakenOverSite(t, Settings{Term: 3, Lease: 3500 * time.Millisecond, StopGrace: 900 * time.Millisecond, PreviousOwnerStopped: true})
	twice := step(1)
	twice.AllowDuplicates = true
	inherited := s.recordOf("north", 1, twice)
	s.cell.Load(inherited, nil)
	task := inherited.ID + ".0.0.0"
	// The owner of term 2 has started two runs on w1. The owner of term 1 may have left one on w2.
	first := uint64(runsPerTerm + 1)
	s.runs["w1"] = []runner.RunState{{Task: task, Run: first, Percent: 10}, {Task: task, Run: first + 1, Percent: 10}}
	s.report("w1")
	s.cell.Add(s.recordOf("north", 2, step(3)), true)
	if starts := s.plan(); len(starts) != 0 {
		t.Errorf("%d starts beside two runs and a possible third under a quota of 3, want none", len(starts))
	}
}

// Guards against a step that runs twice after two takeovers: the first owner started it, and the second
// ran the step before it again, as the worker that listed its end was lost.
func TestStepAfterARepeatedRunWaitsForUnresponsiveWorkers(t *testing.T) {
	s := newSite(t, 3, usualWorker("a"), usualWorker("b"))
	s.cell.settings.PreviousOwnerStopped = true
	r, first, second := s.twoSteps()
	s.cell.Load(r, nil)
	again := uint64(runsPerTerm + 1)
	s.runs["a"] = []runner.RunState{{Task: first, Run: again, Percent: 10}}
	s.report("a")
	s.endAndReport("a", first, again)
	if o, ok := s.plan()[second]; ok {
		t.Errorf("run %d was started although the first owner may have started the step on b", o.Start.Run)
	}
}

// Guards against a job that is shown as cancelled and later as completed: the cancellation reached
// only the superseded owner, and the new owner saw the last task end.
func TestCancelledJobIsNotCompletedByTheNextOwner(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	r := s.record(1, step(1))
	s.cell.Add(r, true)
	task := r.ID + ".0.0.0"
	o := s.plan()[task]
	s.confirm(o)
	s.report("a")
	s.commit()
	superseded := s.cell
	s.takeOver(r, "a")
	s.report("a")
	superseded.Cancel(r.ID, s.now)
	shown, _ := superseded.State(r.ID)
	s.endAndReport("a", task, o.Start.Run)
	s.commit()
	if now, _ := s.cell.State(r.ID); shown == job.Cancelled && now == job.Completed {
		t.Errorf("shown as %s, then as %s", shown, now)
	}
}
