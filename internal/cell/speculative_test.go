package cell

import (
	"errors"
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

var errUnresponsive = errors.New("no answer")

// runOnA starts one task on worker a while worker b is idle.
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
			t.Fatalf("started on %s, want a", o.Worker.ID)
		}
		s.report("b")
		return o
	}
	t.Fatal("nothing was started")
	return StartOrder{}
}

// failPolls has the polls of a worker fail for some time while the other one answers. It returns
// the first starts.
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

// Guards against a delay of 3.6 s, for the expiry of the lease, when a worker is lost under a task
// that may run twice.
func TestTaskThatMayRunTwiceDoesNotWaitForALease(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	o := runOnA(t, s, true, 3)
	starts := s.failPolls("a", "b", time.Second)
	if second := starts[o.Start.Task]; second.Worker.ID != "b" || second.Start.Run <= o.Start.Run {
		t.Errorf("no speculative run on b within a second: %v", starts)
	}
}

// Guards against starting a task that must not run twice before the lease of its worker has
// expired.
func TestTaskThatMayNotRunTwiceWaitsForTheLease(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	runOnA(t, s, false, 3)
	if starts := s.failPolls("a", "b", 3*time.Second); len(starts) > 0 {
		t.Errorf("started again before the lease expired: %v", starts)
	}
}

// Guards against a task that may run twice and waits 0.9 s for its stalled run to be stopped.
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
			t.Errorf("starts %v, stops %v; want a speculative run on b and a stop on a", starts, s.stops())
		}
		return
	}
	t.Error("no speculative run was started")
}

// slowRun has a run make progress at a fiftieth of the estimated speed until its task gets a
// speculative run.
func slowRun(t *testing.T, s *site, o StartOrder) StartOrder {
	t.Helper()
	for percent := 1; percent < 20; percent++ {
		s.advance(500 * time.Millisecond)
		s.progress(o, percent)
		s.report("a")
		s.report("b")
		if speculative, ok := s.plan()[o.Start.Task]; ok {
			return speculative
		}
	}
	t.Fatal("no speculative run was started for the slow run")
	return StartOrder{}
}

// Guards against losing the progress of a slow run: it must not be stopped when the speculative run
// starts, but only when that is done.
func TestSlowRunAndSpeculativeRunContinueUntilOneIsDone(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	o := runOnA(t, s, true, 3)
	second := slowRun(t, s, o)
	if second.Worker.ID != "b" || s.stops()["a"] {
		t.Fatalf("speculative run on %s, original run stopped: %v", second.Worker.ID, s.stops()["a"])
	}
	s.confirm(second)
	s.report("b")
	s.finish(second, runner.Done)
	s.report("b")
	s.plan()
	if !s.stops()["a"] {
		t.Error("the original run continues after the speculative run is done")
	}
	s.commit()
	if state, _ := s.cell.State(o.Task.Job); state != job.Completed {
		t.Errorf("state %q, want completed", state)
	}
}

// Guards against a job that fails although its task succeeded: the slow run failed after the
// speculative one was done.
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

// Guards against a speculative run on the worker that has the original run.
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
			t.Fatalf("started on the worker that has the original run: %v", starts)
		}
	}
}

// Guards against short tasks that take 5 s instead of 1 s on a slow worker.
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
	t.Error("no speculative run within 1.2 s")
}

// Guards against speculative runs of short tasks that are about to end: each of them would run
// twice and fill the workers.
func TestTaskThatEndsSoonGetsNoSpeculativeRun(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	o := runOnA(t, s, true, 3)
	for tick := 1; tick <= 4; tick++ {
		s.advance(300 * time.Millisecond)
		s.progress(o, 23*tick)
		s.report("a")
		s.report("b")
		if starts := s.plan(); len(starts) > 0 {
			t.Fatalf("speculative run started at %d%% progress", 23*tick)
		}
	}
}
