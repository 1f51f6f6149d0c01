package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// lastingWorld is a worker with one lasting task of each of some jobs.
type lastingWorld struct {
	*site
	// starts are the present runs by job, and away since when a job has none.
	starts map[string]StartOrder
	away   map[string]time.Time
	// longest is the longest time that a job's task was away for.
	longest time.Duration
	// fails says that the worker fails all that it starts.
	fails bool
	// calm is from when on the time away counts.
	calm time.Time
}

func newLastingWorld(t *testing.T, jobs int) *lastingWorld {
	w := &lastingWorld{site: newSite(t, 1, usualWorker("a")), starts: map[string]StartOrder{}, away: map[string]time.Time{}}
	w.report("a")
	for n := range jobs {
		r := w.record(n, lasting(1, 0))
		w.cell.Add(r, true)
		w.away[r.ID] = w.now
	}
	return w
}

// run lets time pass, in which runs begin and are at work at once.
func (w *lastingWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		for _, start := range w.look("a") {
			w.confirm(start)
			w.starts[start.Task.Job] = start
			delete(w.away, start.Task.Job)
			if w.fails {
				w.fail(start.Task.Job)
			}
		}
		for i := range w.runs["a"] {
			w.runs["a"][i].Percent = atWork
		}
		for _, since := range w.away {
			if w.calm.After(since) {
				since = w.calm
			}
			w.longest = max(w.longest, w.now.Sub(since))
		}
	}
}

// fail ends the run of a job's task.
func (w *lastingWorld) fail(id string) {
	w.finish(w.starts[id], runner.Failed)
	delete(w.starts, id)
	w.away[id] = w.now
}

// Failure: lasting tasks that failed kept each other off their sound worker for over 10 s.
func TestLastingTasksThatFailAreStartedAgainOnTheirOnlyWorker(t *testing.T) {
	w := newLastingWorld(t, 5)
	w.run(5 * time.Second)
	w.longest = 0
	for n := range 5 {
		w.fail(w.record(n, job.Step{}).ID)
		w.run(4 * time.Second)
	}
	w.run(10 * time.Second)
	if w.longest > 2*time.Second {
		t.Errorf("a lasting task was away for %v beside room on a sound worker", w.longest)
	}
}

// Failure: lasting tasks stayed away for six seconds after their worker was sound again.
func TestLastingTasksAreStartedAgainSoonOnAWorkerThatFailedAll(t *testing.T) {
	w := newLastingWorld(t, 4)
	w.fails = true
	w.run(6500 * time.Millisecond)
	w.fails, w.calm, w.longest = false, w.now, 0
	w.run(10 * time.Second)
	if w.longest > 2*time.Second {
		t.Errorf("a lasting task was away for %v after its worker was sound again", w.longest)
	}
	if len(w.away) > 0 {
		t.Errorf("tasks of %d jobs do not run", len(w.away))
	}
}

// avoid has a worker avoided for the failures of several jobs.
func (s *site) avoid(id string) {
	for n := range badStreak {
		s.cell.noteFailure(s.cell.workers[id], s.record(100+n, job.Step{}).ID, s.now)
	}
}

// Failure: a task that ends used up its attempts on a worker that fails all.
func TestOnlyLastingTasksAreTriedOnAnAvoidedWorker(t *testing.T) {
	for _, test := range []struct {
		name    string
		step    job.Step
		advised bool
		want    int
	}{
		{"a task that ends", step(1), false, 0},
		{"a lasting task", lasting(1, 0), false, 1},
		{"a lasting task with an adviser", lasting(1, 0), true, 1},
	} {
		s := newSite(t, 1, usualWorker("a"))
		s.report("a")
		s.avoid("a")
		r := s.record(1, test.step)
		if test.advised {
			r = advised(r, 30*time.Millisecond)
		}
		s.cell.Add(r, true)
		starts := 0
		for range 30 {
			starts += len(s.look("a"))
			s.advise("a")
		}
		if starts != test.want {
			t.Errorf("%s: %d starts in 3 s, want %d", test.name, starts, test.want)
		}
	}
}

// Failure: a lasting task was started on a worker that fails all, beside room on a sound one.
func TestLastingTaskPrefersAWorkerThatIsNotAvoided(t *testing.T) {
	for _, withAdviser := range []bool{false, true} {
		s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
		s.report("a")
		s.report("b")
		r := s.record(1, lasting(1, 0))
		if withAdviser {
			r = advised(r, 30*time.Millisecond)
		}
		s.avoid("a")
		s.pass(1200 * time.Millisecond)
		s.cell.Add(r, true)
		var on []string
		for range 10 {
			for _, start := range s.look("a", "b") {
				on = append(on, start.Worker.ID)
			}
			s.advise("a", "b")
		}
		if len(on) != 1 || on[0] != "b" {
			t.Errorf("with an adviser %v: started on %v, want b", withAdviser, on)
		}
	}
}

// Failure: a lasting task was sent again and again to a worker that declines it.
func TestLastingTaskIsNotTriedOnAWorkerThatJustDeclined(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	s.avoid("a")
	s.pass(5 * time.Second)
	s.cell.workers["a"].health.refused(s.now)
	s.cell.Add(s.record(1, lasting(1, 0)), true)
	s.pass(refusedFor - 50*time.Millisecond)
	s.report("a")
	if starts := s.plan(); len(starts) > 0 {
		t.Errorf("started right after the worker declined: %v", starts)
	}
	if starts := s.look("a"); len(starts) != 1 {
		t.Errorf("%d starts after the pause, want 1", len(starts))
	}
}

// Failure: a lasting task was started on a worker that fails all, and parked ones slept on.
func TestParkedWorkersWakeBeforeAnAvoidedOneIsTried(t *testing.T) {
	s := idleSite(t, 4, 1)
	s.startAll()
	awake := s.cell.WorkerIDs()
	if len(awake) != 1 {
		t.Fatalf("%d workers are awake, want 1", len(awake))
	}
	s.avoid(awake[0])
	s.pass(1200 * time.Millisecond)
	s.cell.Add(s.record(1, lasting(1, 0)), true)
	for range 5 {
		s.hear()
		for _, start := range s.plan() {
			if start.Worker.ID == awake[0] {
				t.Errorf("started on the avoided worker %s", awake[0])
			}
			return
		}
		s.commit()
	}
	t.Error("no start")
}
