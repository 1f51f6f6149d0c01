package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// Guards against a fourth start of a task whose queue allows 3 failed runs, when the failures are
// reported out of order.
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

// Guards against counting a failure twice: the previous owner has stored it, and the worker reports
// it again.
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

// Guards against a task that runs on two workers at once after a takeover, because a worker that
// has not reported yet still runs it.
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
		t.Fatal("a job accepted in this owner's term was held back, too")
	}
	s.advance(s.cell.earlierLeaseLimit() - 100*time.Millisecond)
	s.report("a")
	if _, ok := s.plan()[older.ID+".0.0.0"]; ok {
		t.Fatal("a task of an older job was started before the unresponsive worker's lease must have expired")
	}
	s.advance(200 * time.Millisecond)
	s.report("a")
	if _, ok := s.plan()[older.ID+".0.0.0"]; !ok {
		t.Error("a task of an older job was not started although no lease can be left")
	}
}

// Guards against a takeover with a lost worker after which all jobs wait for the longest possible
// lease although most of them have running tasks.
func TestStageAfterAVisibleRunIsNotHeldBack(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	s.cell.settings.PreviousOwnerStopped = true
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

// Guards against a task that runs again just after a takeover although it is done: the superseded
// owner started it for a job that the new owner does not know.
func TestEndOfAJobStartedByTheSupersededOwnerIsKept(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	r := s.record(1, step(1))
	task := r.ID + ".0.0.0"
	s.end("a", task, 1, runner.Done)
	s.report("a")
	s.commit()
	if _, poll, _ := s.cell.NextPoll("a", s.now); poll.Acknowledged != 0 {
		t.Fatal("the end of an unknown job was acknowledged")
	}
	if missing := s.cell.UnknownJobs(); len(missing) != 1 || missing[0] != r.ID {
		t.Fatalf("unknown jobs %v, want the one of the reported end", missing)
	}
	s.cell.Add(r, false)
	if len(s.plan()) != 0 {
		t.Fatal("the job was started while the superseded owner may have started it")
	}
	s.report("a")
	s.report("b")
	if again, ok := s.plan()[task]; ok {
		t.Fatalf("run %d was started although the task was done", again.Start.Run)
	}
	s.commit()
	if state, _ := s.cell.State(r.ID); state != job.Completed {
		t.Errorf("state %q, want completed", state)
	}
}

// Guards against runs that never stop and ends that are never acknowledged when their job does not
// exist.
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
		t.Errorf("orders %v, want 1 stop", s.orders)
	}
	s.commit()
	if _, poll, _ := s.cell.NextPoll("a", s.now); poll.Acknowledged != 1 {
		t.Errorf("ends are acknowledged up to %d, want 1", poll.Acknowledged)
	}
}

// Guards against a task that runs on two workers at once, and a worker over its capacity, just
// after a takeover: a reported run belongs to a job that is not loaded yet.
func TestRunOfAMissingJobIsAccountedBeforePlacement(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	r := s.record(1, step(1))
	task := r.ID + ".0.0.0"
	s.runs["a"] = []runner.RunState{{Task: task, Run: 1, Percent: 10}}
	s.report("a")
	s.report("b")
	s.cell.Add(r, true)
	if starts := s.plan(); len(starts) != 0 {
		t.Fatalf("started %v while the run on a continues", starts)
	}
	s.report("a")
	if starts := s.plan(); len(starts) != 0 {
		t.Fatalf("started %v while the adopted run continues", starts)
	}
	if used := s.cell.workers["a"].used.MilliCPU; used != 1000 {
		t.Errorf("%d thousandths of a core of a are accounted, want 1000", used)
	}
}

// Guards against tasks of a lost worker that are restarted only 5.3 s after a crash of the owner
// although the owner's new process was observed after 0.6 s.
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
		t.Fatal("the task was never started")
		return 0
	}
	unknown, soon, late := waited(0), waited(300*time.Millisecond), waited(3*time.Second)
	if gain := unknown - soon; gain < time.Second || gain > supersededOwnerLimit {
		t.Errorf("waited %v, and %v when the previous owner was known to have stopped", unknown, soon)
	}
	if soon < 3500*time.Millisecond {
		t.Errorf("waited %v, less than a lease", soon)
	}
	if late != unknown {
		t.Errorf("waited %v, and %v when the stop of the previous owner became known late", unknown, late)
	}
}

// Guards against two runs of a task with the same number, of which one failure or crash is not counted:
// the previous owner has started the task many times, the last time after its last commit.
func TestRunNumbersOfOwnersDiffer(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	r := s.record(1, step(1))
	s.cell.Add(r, true)
	task := r.ID + ".0.0.0"
	for range 40 {
		o := s.plan()[task]
		s.confirm(o)
		s.finish(o, runner.Stopped)
		s.report("a")
	}
	s.commit()
	stored := encodeAndDecode(t, s.cell.jobs[r.ID].progress())
	last := s.plan()[task].Start.Run
	next := New(Settings{Term: 2}, s.now, quietLog())
	next.Load(r, stored)
	if run := next.taskByName(task).nextRun(2); run <= last {
		t.Errorf("the next owner uses run %d, the previous one has used up to %d", run, last)
	}
}
