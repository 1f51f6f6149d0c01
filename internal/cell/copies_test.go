package cell

import (
	"errors"
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

var errSilent = errors.New("no answer")

// runOnA starts one task on worker a, beside an idle worker b.
func runOnA(t *testing.T, s *site, twice bool, maxAttempts int) StartOrder {
	t.Helper()
	s.report("a")
	only := step(1)
	only.AllowDuplicates = twice
	r := s.record(1, only)
	r.MaxAttempts = maxAttempts
	s.cell.Add(r, true)
	for _, o := range s.plan() {
		s.confirm(o)
		if o.Worker.ID != "a" {
			t.Fatalf("started on %s", o.Worker.ID)
		}
		s.report("b")
		return o
	}
	t.Fatal("nothing was started")
	return StartOrder{}
}

// silence has looks at a worker fail for some time, while the other one answers.
func (s *site) silence(worker, other string, d time.Duration) map[string]StartOrder {
	for passed := time.Duration(0); passed < d; passed += 100 * time.Millisecond {
		s.pass(100 * time.Millisecond)
		s.cell.LookFailed(worker, errSilent, s.now)
		s.report(other)
		s.commit()
		if starts := s.plan(); len(starts) > 0 {
			return starts
		}
	}
	return nil
}

// Symptom: jobs whose tasks may run twice are 3.6 s late when a worker is lost.
// Sequence: the worker with a task falls silent, another one has room.
// Cause: the task waited for the end of the lease, as one that may not run twice.
func TestTaskThatMayRunTwiceDoesNotWaitForALease(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	o := runOnA(t, s, true, 3)
	starts := s.silence("a", "b", time.Second)
	if second := starts[o.Start.Task]; second.Worker.ID != "b" || second.Start.Run <= o.Start.Run {
		t.Errorf("no copy on b within a second: %v", starts)
	}
}

// Symptom: a task runs twice.
// Sequence: the worker with a task that may not run twice falls silent.
// Cause to be ruled out: it is copied like one that may.
func TestTaskThatMayNotRunTwiceWaitsForTheLease(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	runOnA(t, s, false, 3)
	if starts := s.silence("a", "b", 3*time.Second); len(starts) > 0 {
		t.Errorf("started again before the end of the lease: %v", starts)
	}
}

// Symptom: a task that may run twice waits 0.9 s for the stop of its run.
// Sequence: its run stands still, and the stop is not answered.
// Cause: the task became placeable only at the end of the run.
func TestCopyOfAStalledRunDoesNotWaitForItsStop(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	o := runOnA(t, s, true, 3)
	for range 30 {
		s.pass(100 * time.Millisecond)
		s.report("a")
		s.report("b")
		starts := s.plan()
		if len(starts) == 0 {
			continue
		}
		if starts[o.Start.Task].Worker.ID != "b" || !s.stops()["a"] {
			t.Errorf("starts %v, stops %v; want a copy on b and a stop on a", starts, s.stops())
		}
		return
	}
	t.Error("no copy was started")
}

// slowRun has a task on a go at a fiftieth of its estimate until it is copied.
func slowRun(t *testing.T, s *site, o StartOrder) StartOrder {
	t.Helper()
	for percent := 1; percent < 20; percent++ {
		s.pass(500 * time.Millisecond)
		s.progress(o, percent)
		s.report("a")
		s.report("b")
		if copied, ok := s.plan()[o.Start.Task]; ok {
			return copied
		}
	}
	t.Fatal("the slow run was not copied")
	return StartOrder{}
}

// Symptom: a slow run that was nearly done is stopped, and its task begins anew.
// Sequence: a run goes at a fiftieth of its estimate; the task may run twice.
// Cause to be ruled out: it is stopped instead of being raced.
func TestSlowRunGoesOnBesideItsCopyUntilOneIsDone(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	o := runOnA(t, s, true, 3)
	second := slowRun(t, s, o)
	if second.Worker.ID != "b" || s.stops()["a"] {
		t.Fatalf("copy on %s, first one stopped: %v", second.Worker.ID, s.stops()["a"])
	}
	s.confirm(second)
	s.report("b")
	s.finish(second, runner.Done)
	s.report("b")
	s.plan()
	if !s.stops()["a"] {
		t.Error("the first run goes on after the copy is done")
	}
	s.commit()
	if state, _ := s.cell.State(o.Task.Job); state != job.Completed {
		t.Errorf("state %q", state)
	}
}

// Symptom: a job fails although its task succeeded.
// Sequence: of two runs of a task with one attempt, one is done and the other one
// fails.
// Cause to be ruled out: the failure of a copy counts after the success.
func TestFailureOfACopyAfterTheSuccessDoesNotCount(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	s.report("a")
	only := step(1)
	only.AllowDuplicates = true
	r := s.record(1, only, step(1))
	r.MaxAttempts = 1
	r.Steps[1].After = []int{0}
	s.cell.Add(r, true)
	var o StartOrder
	for _, o = range s.plan() {
		s.confirm(o)
	}
	s.report("b")
	second := slowRun(t, s, o)
	s.confirm(second)
	s.finish(second, runner.Done)
	s.report("b")
	s.finish(o, runner.FailedRun)
	s.report("a")
	s.plan()
	s.commit()
	if state, _ := s.cell.State(r.ID); state == job.Failed {
		t.Error("the job failed")
	}
}

// Symptom: a worker runs a task twice.
// Sequence: the only worker with room is the one on which the task stands still.
// Cause to be ruled out: a copy is placed beside its original.
func TestCopyIsNeverPlacedBesideItsOriginal(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	only := step(1)
	only.AllowDuplicates = true
	s.cell.Add(s.record(1, only), true)
	for _, o := range s.plan() {
		s.confirm(o)
	}
	for range 40 {
		s.pass(100 * time.Millisecond)
		s.report("a")
		if starts := s.plan(); len(starts) > 0 {
			t.Fatalf("started beside itself: %v", starts)
		}
	}
}

// Symptom: on days with slow workers short tasks take 5 s instead of 1 s.
// Sequence: a task of 1 s goes at a sixth of its speed; stopping and starting it
// again would take about as long as letting it end.
// Cause: only runs that are worth a stop were looked at.
func TestShortTaskOnASlowWorkerIsCopied(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	o := runOnA(t, s, true, 3)
	for tick := 1; tick <= 4; tick++ {
		s.pass(300 * time.Millisecond)
		s.progress(o, 5*tick)
		s.report("a")
		s.report("b")
		if _, ok := s.plan()[o.Start.Task]; ok {
			return
		}
	}
	t.Error("not copied within 1.2 s")
}

// Symptom: each short task runs twice, and the workers are full.
// Sequence: a task goes a third slower than estimated.
// Cause to be ruled out: a copy is started that ends at the same time.
func TestTaskThatEndsSoonIsNotCopied(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	o := runOnA(t, s, true, 3)
	for tick := 1; tick <= 4; tick++ {
		s.pass(300 * time.Millisecond)
		s.progress(o, 23*tick)
		s.report("a")
		s.report("b")
		if starts := s.plan(); len(starts) > 0 {
			t.Fatalf("copied at %d%%", 23*tick)
		}
	}
}
