package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// longRunningWorld is a site with one worker and several jobs of one long-running task each.
type longRunningWorld struct {
	*site
	// starts holds the starts of the present runs by job; downSince holds since when a job has no
	// run.
	starts    map[string]StartOrder
	downSince map[string]time.Time
	// maxDowntime is the longest time that a task was down.
	maxDowntime time.Duration
	// fails is set while the worker fails every run.
	fails bool
	// countedFrom is the time from which downtime counts.
	countedFrom time.Time
}

func newLongRunningWorld(t *testing.T, jobs int) *longRunningWorld {
	w := &longRunningWorld{site: newSite(t, 1, usualWorker("a")), starts: map[string]StartOrder{}, downSince: map[string]time.Time{}}
	w.report("a")
	for n := range jobs {
		r := w.record(n, longRunning(1, 0))
		w.cell.Add(r, true)
		w.downSince[r.ID] = w.now
	}
	return w
}

// run advances the time. Tasks that are started run at once.
func (w *longRunningWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		for _, start := range w.reportAndPlan("a") {
			w.confirm(start)
			w.starts[start.Task.Job] = start
			delete(w.downSince, start.Task.Job)
			if w.fails {
				w.fail(start.Task.Job)
			}
		}
		for i := range w.runs["a"] {
			w.runs["a"][i].Percent = workingPercent
		}
		for _, since := range w.downSince {
			if w.countedFrom.After(since) {
				since = w.countedFrom
			}
			w.maxDowntime = max(w.maxDowntime, w.now.Sub(since))
		}
	}
}

// fail ends the run of a job's task.
func (w *longRunningWorld) fail(id string) {
	w.finish(w.starts[id], runner.Failed)
	delete(w.starts, id)
	w.downSince[id] = w.now
}

// Guards against failed long-running tasks that keep each other off their healthy worker for more
// than 10 s.
func TestFailedLongRunningTasksRestartOnTheirOnlyWorker(t *testing.T) {
	w := newLongRunningWorld(t, 5)
	w.run(5 * time.Second)
	w.maxDowntime = 0
	for n := range 5 {
		w.fail(w.record(n, job.Step{}).ID)
		w.run(4 * time.Second)
	}
	w.run(10 * time.Second)
	if w.maxDowntime > 2*time.Second {
		t.Errorf("a long-running task was down for %v although a healthy worker had free capacity", w.maxDowntime)
	}
}

// Guards against long-running tasks that stay down for 6 s after their worker has recovered.
func TestLongRunningTasksRestartSoonOnARecoveredWorker(t *testing.T) {
	w := newLongRunningWorld(t, 4)
	w.fails = true
	w.run(6500 * time.Millisecond)
	w.fails, w.countedFrom, w.maxDowntime = false, w.now, 0
	w.run(10 * time.Second)
	if w.maxDowntime > 2*time.Second {
		t.Errorf("a long-running task was down for %v after its worker recovered", w.maxDowntime)
	}
	if len(w.downSince) > 0 {
		t.Errorf("tasks of %d jobs do not run", len(w.downSince))
	}
}

// markAvoided has a worker avoided because tasks of several jobs failed on it.
func (s *site) markAvoided(id string) {
	for n := range avoidAfterFailures {
		s.cell.recordFailure(s.cell.workers[id], s.record(100+n, job.Step{}).ID, s.now)
	}
}

// Guards against a task that uses up its attempts on a worker that fails every run: only
// long-running tasks may be tried there.
func TestOnlyLongRunningTasksAreTriedOnAnAvoidedWorker(t *testing.T) {
	for _, test := range []struct {
		name    string
		step    job.Step
		advised bool
		want    int
	}{
		{"a task that ends", step(1), false, 0},
		{"a long-running task", longRunning(1, 0), false, 1},
		{"a long-running task with an adviser", longRunning(1, 0), true, 1},
	} {
		s := newSite(t, 1, usualWorker("a"))
		s.report("a")
		s.markAvoided("a")
		r := s.record(1, test.step)
		if test.advised {
			r = advised(r, 30*time.Millisecond)
		}
		s.cell.Add(r, true)
		starts := 0
		for range 30 {
			starts += len(s.reportAndPlan("a"))
			s.advise("a")
		}
		if starts != test.want {
			t.Errorf("%s: %d starts in 3 s, want %d", test.name, starts, test.want)
		}
	}
}

// Guards against starting a long-running task on a worker that fails every run while a healthy one
// has free capacity.
func TestLongRunningTaskPrefersAWorkerThatIsNotAvoided(t *testing.T) {
	for _, withAdviser := range []bool{false, true} {
		s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
		s.report("a")
		s.report("b")
		r := s.record(1, longRunning(1, 0))
		if withAdviser {
			r = advised(r, 30*time.Millisecond)
		}
		s.markAvoided("a")
		s.advance(1200 * time.Millisecond)
		s.cell.Add(r, true)
		var on []string
		for range 10 {
			for _, start := range s.reportAndPlan("a", "b") {
				on = append(on, start.Worker.ID)
			}
			s.advise("a", "b")
		}
		if len(on) != 1 || on[0] != "b" {
			t.Errorf("with an adviser: %v: started on %v, want b", withAdviser, on)
		}
	}
}

// Guards against sending a long-running task repeatedly to a worker that refuses it.
func TestLongRunningTaskIsNotTriedOnAWorkerThatJustRefused(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	s.markAvoided("a")
	s.advance(5 * time.Second)
	s.cell.workers["a"].health.refused(s.now)
	s.cell.Add(s.record(1, longRunning(1, 0)), true)
	s.advance(refusalPeriod - 50*time.Millisecond)
	s.report("a")
	if starts := s.plan(); len(starts) > 0 {
		t.Errorf("started right after the worker refused: %v", starts)
	}
	if starts := s.reportAndPlan("a"); len(starts) != 1 {
		t.Errorf("%d starts after the pause, want 1", len(starts))
	}
}

// Guards against starting a long-running task on a worker that fails every run while healthy
// workers stay parked.
func TestParkedWorkersWakeBeforeAnAvoidedOneIsTried(t *testing.T) {
	s := idleSite(t, 4, 1)
	s.startAll()
	awake := s.cell.WorkersToPoll()
	if len(awake) != 1 {
		t.Fatalf("%d workers are awake, want 1", len(awake))
	}
	s.markAvoided(awake[0])
	s.advance(1200 * time.Millisecond)
	s.cell.Add(s.record(1, longRunning(1, 0)), true)
	for range 5 {
		s.reportAll()
		for _, start := range s.plan() {
			if start.Worker.ID == awake[0] {
				t.Errorf("started on the avoided worker %s", awake[0])
			}
			return
		}
		s.commit()
	}
	t.Error("the task was not started")
}
