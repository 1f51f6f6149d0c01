package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// twoSteps returns a job whose second step depends on the first, and the names of their tasks.
func (s *site) twoSteps() (r *job.Record, first, second string) {
	last := step(1)
	last.DependsOn = []int{0}
	r = s.record(1, step(1), last)
	return r, r.ID + ".0.0.0", r.ID + ".0.1.0"
}

// endAndReport ends a run as done and has its worker report it.
func (s *site) endAndReport(worker, task string, run uint64) {
	s.t.Helper()
	s.end(worker, task, run, runner.Done)
	s.report(worker)
}

// Guards against a step that runs twice after a takeover: the previous owner saw the end of a stored
// run and started the next step on a worker that the new owner has not reached.
func TestStepAfterAStoredRunWaitsForUnresponsiveWorkers(t *testing.T) {
	for name, stopped := range map[string]bool{"previous owner may act": false, "previous owner has stopped": true} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 2, usualWorker("a"), usualWorker("b"), usualWorker("c"))
			s.cell.settings.PreviousOwnerStopped = stopped
			r, first, second := s.twoSteps()
			s.cell.Load(r, nil)
			s.cell.LoadWorkers([]KnownWorker{
				{ID: "a", Address: "a:1", Cordoned: true, Runs: []KnownRun{{Task: first, Run: 1}}},
				{ID: "b", Address: "b:1"}, {ID: "c", Address: "c:1"}}, s.now)
			s.report("c")
			s.endAndReport("a", first, 1)
			if again, ok := s.plan()[second]; ok {
				t.Fatalf("run %d was started although the previous owner may have started the step on b", again.Start.Run)
			}
			s.advance(s.cell.earlierLeaseLimit())
			s.report("c")
			if _, ok := s.plan()[second]; !ok {
				t.Error("the step was not started although no lease can be left on b")
			}
		})
	}
}

// Guards against a step that runs twice after a takeover: a poll of the previous owner, accepted
// before the takeover, returned the end of a run that both owners knew.
func TestStepAfterARunThatAnActivePreviousOwnerKnowsWaits(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	r, first, second := s.twoSteps()
	s.cell.Load(r, nil)
	s.runs["a"] = []runner.RunState{{Task: first, Run: 1, Percent: 10}}
	s.report("a")
	s.endAndReport("a", first, 1)
	if again, ok := s.plan()[second]; ok {
		t.Fatalf("run %d was started although the previous owner may have started the step on b", again.Start.Run)
	}
	s.report("b")
	if _, ok := s.plan()[second]; !ok {
		t.Error("the step was not started although both workers have reported")
	}
}

// Guards against a step that runs twice after a takeover: the previous owner's poll returned the end
// of a run that the new owner started.
func TestStepAfterAnOwnRunWaitsWhileThePreviousOwnerMayAct(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	r, first, second := s.twoSteps()
	s.report("a")
	s.cell.Add(r, true)
	own := s.plan()[first]
	s.confirm(own)
	s.cell.jobs[r.ID].inherited = true
	s.endAndReport("a", first, own.Start.Run)
	if again, ok := s.plan()[second]; ok {
		t.Fatalf("run %d was started although the previous owner may have started the step on b", again.Start.Run)
	}
}

// Guards against a step that runs twice after a takeover: of two concurrent runs of a task, the new
// owner knows one, and the previous owner saw the end of the other.
func TestStepAfterSpeculativeRunsWaitsForUnresponsiveWorkers(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	s.cell.settings.PreviousOwnerStopped = true
	r, first, second := s.twoSteps()
	r.Steps[0].AllowDuplicates = true
	s.cell.Load(r, nil)
	s.runs["a"] = []runner.RunState{{Task: first, Run: 1, Percent: 10}}
	s.report("a")
	s.endAndReport("a", first, 1)
	if again, ok := s.plan()[second]; ok {
		t.Errorf("run %d was started although the previous owner may have started the step on b", again.Start.Run)
	}
}

// Guards against a step that runs twice after a takeover: the previous owner saw the success of a
// member of a gang, which counts for all, and the new owner knows another member.
func TestStepAfterAGangWaitsUnlessAllMembersOutlastedThePreviousOwner(t *testing.T) {
	for name, c := range map[string]struct {
		known []string
		want  bool
	}{
		"one member": {[]string{"a"}, false}, "all members": {[]string{"a", "b"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 2, usualWorker("a"), usualWorker("b"), usualWorker("c"))
			s.cell.settings.PreviousOwnerStopped = true
			gang, last := step(2), step(1)
			gang.Gang, last.DependsOn = true, []int{0}
			r := s.record(1, gang, last)
			s.cell.Load(r, nil)
			for i, id := range c.known {
				s.runs[id] = []runner.RunState{{Task: job.TaskID{Job: r.ID, Index: i}.String(), Run: 1, Percent: 10}}
				s.report(id)
			}
			s.endAndReport("a", r.ID+".0.0.0", 1)
			if _, ok := s.plan()[r.ID+".0.1.0"]; ok != c.want {
				t.Errorf("the step was started: %v, want %v", ok, c.want)
			}
		})
	}
}

// Guards against a step that runs twice after a takeover: the new owner, which holds back no task that
// may run twice, runs the step before it again, although the previous owner had seen that one done.
func TestStepAfterAnOwnSpeculativeRunWaitsForUnresponsiveWorkers(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	s.cell.settings.PreviousOwnerStopped = true
	r, first, second := s.twoSteps()
	r.Steps[0].AllowDuplicates = true
	s.cell.Load(r, nil)
	s.report("a")
	own, ok := s.plan()[first]
	if !ok {
		t.Fatal("the first step was held back")
	}
	s.confirm(own)
	s.report("a")
	s.endAndReport("a", first, own.Start.Run)
	if again, ok := s.plan()[second]; ok {
		t.Fatalf("run %d was started although the previous owner may have started the step on b", again.Start.Run)
	}
	s.advance(s.cell.earlierLeaseLimit())
	s.report("a")
	if _, ok := s.plan()[second]; !ok {
		t.Error("the step was not started although no lease can be left on b")
	}
}

// Guards against steps that wait for a lost worker after a takeover although the previous owner had
// stopped while a run of the step before was at work.
func TestStepAfterARunThatOutlastsThePreviousOwnerIsNotHeldBack(t *testing.T) {
	for name, stop := range map[string]func(*site){
		"known to have stopped": func(s *site) { s.cell.PreviousOwnerStopped(s.now) },
		"must have stopped":     func(s *site) { s.advance(supersededOwnerLimit) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
			r, first, second := s.twoSteps()
			s.cell.Load(r, nil)
			s.runs["a"] = []runner.RunState{{Task: first, Run: 1, Percent: 10}}
			s.report("a")
			s.advance(10 * time.Millisecond)
			stop(s)
			s.report("a")
			s.endAndReport("a", first, 1)
			if _, ok := s.plan()[second]; !ok {
				t.Error("the second step waits for a worker that cannot run it")
			}
		})
	}
}

// Guards against a step that waits for a silent worker although no previous owner can have started the
// step before it, whose tasks may run twice.
func TestStepAfterANewStepOfDuplicatesIsNotHeldBack(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	s.cell.settings.PreviousOwnerStopped = true
	second, third := step(1), step(1)
	second.DependsOn, second.AllowDuplicates, third.DependsOn = []int{0}, true, []int{1}
	r := s.record(1, step(1), second, third)
	s.cell.Load(r, nil)
	s.runs["a"] = []runner.RunState{{Task: r.ID + ".0.0.0", Run: 1, Percent: 10}}
	s.report("a")
	s.endAndReport("a", r.ID+".0.0.0", 1)
	own, ok := s.plan()[r.ID+".0.1.0"]
	if !ok {
		t.Fatal("the second step was held back")
	}
	s.confirm(own)
	s.report("a")
	s.endAndReport("a", own.Start.Task, own.Start.Run)
	if _, ok := s.plan()[r.ID+".0.2.0"]; !ok {
		t.Error("the third step waits for a worker that cannot run it")
	}
}

// Guards against a step that runs twice although one of its runs shows that another owner has started it.
func TestStepWithARunOfAnotherOwnerIsHeldBack(t *testing.T) {
	for name, before := range map[string]bool{"known before the end of the step before": true, "known after it": false} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 2, usualWorker("a"), usualWorker("b"), usualWorker("c"))
			s.cell.settings.PreviousOwnerStopped = true
			last := step(2)
			last.DependsOn = []int{0}
			r := s.record(1, step(1), last)
			s.cell.Load(r, nil)
			s.runs["a"] = []runner.RunState{{Task: r.ID + ".0.0.0", Run: 1, Percent: 10}}
			s.report("a")
			s.runs["b"] = []runner.RunState{{Task: r.ID + ".0.1.0", Run: 1, Percent: 10}}
			if before {
				s.report("b")
			}
			s.endAndReport("a", r.ID+".0.0.0", 1)
			s.report("b")
			if again, ok := s.plan()[r.ID+".0.1.1"]; ok {
				t.Errorf("run %d was started although the step has a run of another owner", again.Start.Run)
			}
		})
	}
}
