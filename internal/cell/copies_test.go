package cell

import (
	"errors"
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

var errUnresponsive = errors.New("no answer")

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

// failPolls has looks at a worker fail for some time, while the other one answers.
func (s *site) failPolls(worker, other string, d time.Duration) map[string]StartOrder {
	for passed := time.Duration(0); passed < d; passed += 100 * time.Millisecond {
		s.advance(100 * time.Millisecond)
		s.cell.PollFailed(worker, errUnresponsive, s.now)
		s.report(other)
		s.commit()
		if starts := s.plan(); len(starts) > 0 {
			return starts
		}
	}
	return nil
}

// Failure: jobs whose tasks may run twice are 3.6 s late when a worker is lost.
func TestTaskThatMayRunTwiceDoesNotWaitForALease(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	o := runOnA(t, s, true, 3)
	starts := s.failPolls("a", "b", time.Second)
	if second := starts[o.Start.Task]; second.Worker.ID != "b" || second.Start.Run <= o.Start.Run {
		t.Errorf("no copy on b within a second: %v", starts)
	}
}

// Failure: a task runs twice.
func TestTaskThatMayNotRunTwiceWaitsForTheLease(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	runOnA(t, s, false, 3)
	if starts := s.failPolls("a", "b", 3*time.Second); len(starts) > 0 {
		t.Errorf("started again before the end of the lease: %v", starts)
	}
}

// Failure: a task that may run twice waits 0.9 s for the stop of its run.
func TestSpeculativeRunDoesNotWaitForTheStopOfAStalledRun(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	o := runOnA(t, s, true, 3)
	for range 30 {
		s.advance(100 * time.Millisecond)
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
		s.advance(500 * time.Millisecond)
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

// Failure: a slow run that was nearly done is stopped, and its task begins anew.
func TestSlowRunAndSpeculativeRunContinueUntilOneIsDone(t *testing.T) {
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

// Failure: a job fails although its task succeeded.
func TestFailureAfterTheSuccessOfASpeculativeRunDoesNotCount(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	s.report("a")
	only := step(1)
	only.AllowDuplicates = true
	r := s.record(1, only, step(1))
	r.MaxAttempts = 1
	r.Steps[1].DependsOn = []int{0}
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
	s.finish(o, runner.Failed)
	s.report("a")
	s.plan()
	s.commit()
	if state, _ := s.cell.State(r.ID); state == job.Failed {
		t.Error("the job failed")
	}
}

// Failure: a worker runs a task twice.
func TestSpeculativeRunIsNeverPlacedOnTheSameWorker(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	only := step(1)
	only.AllowDuplicates = true
	s.cell.Add(s.record(1, only), true)
	for _, o := range s.plan() {
		s.confirm(o)
	}
	for range 40 {
		s.advance(100 * time.Millisecond)
		s.report("a")
		if starts := s.plan(); len(starts) > 0 {
			t.Fatalf("started beside itself: %v", starts)
		}
	}
}

// Failure: on days with slow workers short tasks take 5 s instead of 1 s.
func TestShortTaskOnASlowWorkerGetsASpeculativeRun(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	o := runOnA(t, s, true, 3)
	for tick := 1; tick <= 4; tick++ {
		s.advance(300 * time.Millisecond)
		s.progress(o, 5*tick)
		s.report("a")
		s.report("b")
		if _, ok := s.plan()[o.Start.Task]; ok {
			return
		}
	}
	t.Error("not copied within 1.2 s")
}

// Failure: each short task runs twice, and the workers are full.
func TestTaskThatEndsSoonGetsNoSpeculativeRun(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	o := runOnA(t, s, true, 3)
	for tick := 1; tick <= 4; tick++ {
		s.advance(300 * time.Millisecond)
		s.progress(o, 23*tick)
		s.report("a")
		s.report("b")
		if starts := s.plan(); len(starts) > 0 {
			t.Fatalf("copied at %d%%", 23*tick)
		}
	}
}
