package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// Failure: a task was started a fourth time although its queue allows three failed
// runs.
func TestFailuresReportedOutOfOrderAllCount(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	r := s.record(1, step(1))
	s.cell.Load(r, nil)
	task := r.ID + ".0.0.0"
	s.end("a", task, 2, runner.Failed)
	s.end("b", task, 1, runner.Failed)
	s.report("a")
	s.report("b")
	third, ok := s.plan()[task]
	if !ok {
		t.Fatal("the third run was not started")
	}
	s.confirm(third)
	s.finish(third, runner.Failed)
	s.report(third.Worker.ID)
	if again, ok := s.plan()[task]; ok {
		t.Fatalf("run %d was started after three failed runs", again.Start.Run)
	}
	s.commit()
	if state, _ := s.cell.State(r.ID); state != job.Failed {
		t.Errorf("state is %q, want failed", state)
	}
}

// Failure: a task failed once and counted twice.
func TestFailureStoredByThePreviousOwnerCountsOnce(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	r := s.record(1, step(1))
	s.cell.Add(r, true)
	s.report("a")
	first := s.plan()[r.ID+".0.0.0"]
	s.confirm(first)
	s.finish(first, runner.Failed)
	s.report("a")
	commit := s.cell.NextCommit(1)

	next := newSite(t, 2, usualWorker("a"))
	next.ends = s.ends
	next.cell.Load(r, commit.Items[0].Progress)
	next.report("a")
	if got := next.cell.jobs[r.ID].stages[0].tasks[0].failures(); got != 1 {
		t.Errorf("%d failures are counted, want 1", got)
	}
}

// Failure: a task ran on two workers at once after a take-over.
func TestTasksOfOlderJobsWaitForUnresponsiveWorkers(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	older := s.record(1, step(1))
	s.cell.Load(older, nil)
	s.report("a")
	if len(s.plan()) != 0 {
		t.Fatal("a task of an older job was started while a worker had not reported")
	}
	newer := s.record(2, step(1))
	s.cell.Add(newer, true)
	if _, ok := s.plan()[newer.ID+".0.0.0"]; !ok {
		t.Fatal("a job of this owner's own time was held back, too")
	}
	s.advance(s.cell.earlierLeaseLimit() - 100*time.Millisecond)
	s.report("a")
	if _, ok := s.plan()[older.ID+".0.0.0"]; ok {
		t.Fatal("a task of an older job was started before the silent worker's lease must have ended")
	}
	s.advance(200 * time.Millisecond)
	s.report("a")
	if _, ok := s.plan()[older.ID+".0.0.0"]; !ok {
		t.Error("a task of an older job was not started although no lease can be left")
	}
}

// Failure: after a take-over beside a lost worker, all jobs stood still until the
// longest possible lease had passed, although most had tasks at work.
func TestStageAfterAVisibleRunIsNotHeldBack(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	second := step(1)
	second.DependsOn = []int{0}
	r := s.record(1, step(1), second)
	s.cell.Load(r, nil)
	first := r.ID + ".0.0.0"
	s.runs["a"] = []runner.RunState{{Task: first, Run: 1, Percent: 10}}
	s.report("a")
	s.end("a", first, 1, runner.Done)
	s.report("a")
	if _, ok := s.plan()[r.ID+".0.1.0"]; !ok {
		t.Error("the second step waits for a worker that cannot run it")
	}
}

// Failure: a task that was done ran again just after a take-over.
func TestEndOfAJobStartedByTheSupersededOwnerIsKept(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	r := s.record(1, step(1))
	task := r.ID + ".0.0.0"
	s.end("a", task, 1, runner.Done)
	s.report("a")
	s.commit()
	if _, look, _ := s.cell.NextPoll("a", s.now); look.Acknowledged != 0 {
		t.Fatal("the end of an unknown job was acknowledged")
	}
	if missing := s.cell.UnknownJobs(); len(missing) != 1 || missing[0] != r.ID {
		t.Fatalf("missing jobs %v", missing)
	}
	s.cell.Add(r, false)
	if len(s.plan()) != 0 {
		t.Fatal("the job was begun while the overtaken owner may have done so")
	}
	s.report("a")
	s.report("b")
	if again, ok := s.plan()[task]; ok {
		t.Fatalf("run %d of a task that was done", again.Start.Run)
	}
	s.commit()
	if state, _ := s.cell.State(r.ID); state != job.Completed {
		t.Errorf("state %q, want completed", state)
	}
}

// Failure: a run of no job went on for ever, or its worker's ends were stuck.
func TestRunsOfAbsentJobsAreStopped(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"))
	id := "00000000000000ff"
	s.runs["a"] = []runner.RunState{{Task: id + ".0.0.0", Run: 4}}
	s.end("a", id+".0.0.1", 4, runner.Done)
	s.report("a")
	s.cell.MarkAbsent(id)
	s.report("a")
	s.plan()
	if len(s.orders) != 1 || s.orders[0].(StopOrder).Stop.Run != 4 {
		t.Errorf("orders %v, want one stop", s.orders)
	}
	s.commit()
	if _, look, _ := s.cell.NextPoll("a", s.now); look.Acknowledged != 1 {
		t.Errorf("acknowledged %d, want 1", look.Acknowledged)
	}
}

// Failure: a task ran on two workers at once, and one worker got more than it has, just
// after a take-over.
func TestRunOfAMissingJobIsAccountedBeforePlacement(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	r := s.record(1, step(1))
	task := r.ID + ".0.0.0"
	s.runs["a"] = []runner.RunState{{Task: task, Run: 1, Percent: 10}}
	s.report("a")
	s.report("b")
	s.cell.Add(r, true)
	if starts := s.plan(); len(starts) != 0 {
		t.Fatalf("started %v beside the run on a", starts)
	}
	s.report("a")
	if starts := s.plan(); len(starts) != 0 {
		t.Fatalf("started %v beside the adopted run", starts)
	}
	if used := s.cell.workers["a"].used.MilliCPU; used != 1000 {
		t.Errorf("a has %d booked, want 1000", used)
	}
}

// Failure: tasks of a lost worker are started 5.3 s after a crash of the owner, although
// the owner's new process has shown itself after 0.6 s.
func TestRecoveryWaitsForThePreviousOwnerOnlyUntilItHasStopped(t *testing.T) {
	waited := func(stoppedAfter time.Duration) time.Duration {
		s := newSite(t, 2, usualWorker("a"))
		s.cell.Load(s.record(1, step(1)), nil)
		s.cell.LoadWorkers([]KnownWorker{{ID: "lost", Address: "lost:1"}}, s.now)
		began := s.now
		for s.now.Sub(began) < 10*time.Second {
			s.advance(10 * time.Millisecond)
			if stoppedAfter > 0 && s.now.Sub(began) >= stoppedAfter {
				s.cell.PreviousOwnerStopped(s.now)
			}
			s.report("a")
			if len(s.plan()) > 0 {
				return s.now.Sub(began)
			}
		}
		t.Fatal("never started")
		return 0
	}
	unknown, soon, late := waited(0), waited(300*time.Millisecond), waited(3*time.Second)
	if gain := unknown - soon; gain < time.Second || gain > overtakenOwnerLimit {
		t.Errorf("waited %v, and %v where the earlier owner is known to have stopped", unknown, soon)
	}
	if soon < 3500*time.Millisecond {
		t.Errorf("waited %v, less than a lease", soon)
	}
	if late != unknown {
		t.Errorf("waited %v, and %v where it was learned late", unknown, late)
	}
}
