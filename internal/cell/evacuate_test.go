package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/roster"
)

// longRunning returns a step of long-running tasks, at most one per worker, of which mayMiss may be
// down.
func longRunning(count, mayMiss int) job.Step {
	s := step(count)
	s.LongRunning, s.MaxUnavailable, s.MaxPerWorker = true, mayMiss, 1
	return s
}

// startTasks starts all tasks of a job.
func (s *site) startTasks(r *job.Record) map[string]StartOrder {
	s.t.Helper()
	s.cell.Add(r, true)
	starts := s.plan()
	for _, o := range starts {
		s.confirm(o)
	}
	return starts
}

// reportAndPlan advances the time by 100 ms, has workers report and runs a planning pass, as an
// owner does periodically.
func (s *site) reportAndPlan(workers ...string) map[string]StartOrder {
	s.t.Helper()
	s.advance(100 * time.Millisecond)
	for _, id := range workers {
		s.report(id)
	}
	return s.plan()
}

// Guards against maintenance that ends tasks which were started on an evacuated worker just before.
func TestEvacuatedWorkerGetsNoNewTasks(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	s.cell.SetEvacuating([]string{"a"})
	s.cell.Add(s.record(1, step(2)), true)
	if starts := s.reportAndPlan("a"); len(starts) > 0 {
		t.Errorf("started on a worker that is being evacuated: %v", starts)
	}
	s.cell.SetEvacuating(nil)
	if starts := s.reportAndPlan("a"); len(starts) != 2 {
		t.Errorf("%d starts after the evacuation was cancelled, want 2", len(starts))
	}
}

// Guards against maintenance that loses work or waits for a long run: only long runs with a
// checkpoint are moved.
func TestOnlyLongRunsWithACheckpointAreMoved(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	saves, cannot, short := step(1), step(1), step(1)
	saves.Estimate, saves.Checkpoint = 10*time.Second, true
	cannot.Estimate = 10 * time.Second
	short.Checkpoint = true
	s.startTasks(s.record(1, saves, cannot, short))
	s.reportAndPlan("a")
	s.cell.SetEvacuating([]string{"a"})
	s.reportAndPlan("a")
	var stopped []string
	for _, o := range s.orders {
		if stop, ok := o.(StopOrder); ok {
			stopped = append(stopped, stop.Stop.Task)
		}
	}
	if want := "0000000000000001.0.0.0"; len(stopped) != 1 || stopped[0] != want {
		t.Errorf("stopped %v, want %s alone", stopped, want)
	}
	if load := s.cell.WorkerLoad("a"); load.Runs != 3 || load.Protected {
		t.Errorf("load %+v, want 3 runs, none protected", load)
	}
}

// Guards against a service of several long-running tasks that is down for seconds during a
// maintenance wave: only as many as its budget allows may be moved at a time.
func TestLongRunningTasksAreMovedWithinTheirBudget(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"), usualWorker("c"))
	s.report("a")
	s.report("b")
	starts := s.startTasks(s.record(1, longRunning(2, 1)))
	for _, o := range starts {
		s.progress(o, workingPercent)
	}
	s.report("c")
	s.reportAndPlan("a", "b", "c")
	s.cell.SetEvacuating([]string{"a", "b"})
	s.reportAndPlan("a", "b", "c")
	stopped := s.stops()
	if len(stopped) != 1 {
		t.Fatalf("runs stopped on %v, want on one of two workers", stopped)
	}
	for id, other := range map[string]string{"a": "b", "b": "a"} {
		if stopped[id] && !s.cell.WorkerLoad(other).Protected {
			t.Errorf("the task on %s may be ended while the one of %s is down", other, id)
		}
	}
	s.restartOn(starts, stopped, "c")
	s.reportAndPlan("a", "b", "c")
	if again := s.stops(); len(again) != 1 || again["c"] {
		t.Errorf("runs stopped on %v after the first task runs again, want the other one", again)
	}
}

// restartOn ends the stopped runs and has their tasks run on a worker.
func (s *site) restartOn(starts map[string]StartOrder, stopped map[string]bool, worker string) {
	s.t.Helper()
	for _, o := range starts {
		if stopped[o.Worker.ID] {
			s.finish(o, "stopped")
		}
	}
	for _, o := range s.reportAndPlan("a", "b", "c") {
		if o.Worker.ID != worker {
			s.t.Fatalf("moved to %s, want %s", o.Worker.ID, worker)
		}
		s.confirm(o)
		s.progress(o, workingPercent)
	}
}

// Guards against maintenance that ends tasks on a worker which has not reported yet.
func TestWorkerThatHasNotReportedIsNotEmpty(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	if load := s.cell.WorkerLoad("a"); load.Runs == 0 || !load.Protected {
		t.Errorf("load %+v of a worker that has not reported, want protected runs", load)
	}
}

// Guards against a take-over that takes 5.3 s in the middle of a maintenance wave because an old
// heartbeat brings an ended worker back.
func TestEndedWorkerDoesNotComeBackByAnOldHeartbeat(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	s.cell.WorkerTerminated("a", s.now, s.now)
	old := roster.Change{Workers: []roster.Worker{usualWorker("a")}}
	s.cell.UpdateRoster(old, s.now)
	s.cell.SetRoster(old.Workers, s.now)
	if ids := s.cell.WorkersToPoll(); len(ids) > 0 {
		t.Errorf("workers %v are known after they ended", ids)
	}
	s.cell.UpdateRoster(roster.Change{Removed: []string{"a"}}, s.now)
	if len(s.cell.endedIncarnations) > 0 {
		t.Error("the ended worker is remembered after it left the roster")
	}
}

func TestParkedWorkerEndsLikeOthers(t *testing.T) {
	s := idleSite(t, 6, 2)
	s.advance(parkAfter + parkPeriod)
	s.reportAll()
	s.plan()
	s.advance(parkAfter + parkPeriod)
	s.reportAll()
	s.plan()
	before := s.cell.Stats(s.now)
	if before.Parked == 0 {
		t.Fatal("no worker is parked")
	}
	for id, w := range s.cell.workers {
		if w.parked {
			s.cell.WorkerTerminated(id, s.now, s.now)
			break
		}
	}
	if after := s.cell.Stats(s.now); after.Workers != before.Workers-1 || after.Parked != before.Parked-1 {
		t.Errorf("%d workers of which %d are parked; before the end %d and %d", after.Workers, after.Parked, before.Workers, before.Parked)
	}
}
