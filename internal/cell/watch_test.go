package cell

import (
	"testing"
	"time"

	"gentianstand/internal/runner"
)

// twoRuns starts a step of two tasks, one on each of two workers, and returns their starts. Their
// estimate is a tenth of the real run time.
func twoRuns(t *testing.T, s *site) []StartOrder {
	t.Helper()
	s.report("a")
	s.report("b")
	pair := step(2)
	pair.MaxPerWorker = 1
	pair.Estimate = 500 * time.Millisecond
	s.cell.Add(s.record(1, pair), true)
	var starts []StartOrder
	for _, o := range s.plan() {
		s.cell.StartAnswered(o, runner.Answer{}, nil, s.now)
		starts = append(starts, o)
	}
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2", len(starts))
	}
	return starts
}

// progress has a run report a percentage.
func (s *site) progress(o StartOrder, percent int) {
	s.runs[o.Worker.ID] = []runner.RunState{{Task: o.Start.Task, Run: o.Start.Run, Percent: percent}}
}

// stops returns the workers on which the last planning pass stopped runs.
func (s *site) stops() map[string]bool {
	stopped := map[string]bool{}
	for _, o := range s.orders {
		if stop, ok := o.(StopOrder); ok {
			stopped[stop.Worker.ID] = true
		}
	}
	return stopped
}

// Guards against stopping runs as slow on healthy workers, as one start in 13 was.
func TestRunAsFastAsItsSiblingsIsNotSlow(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	starts := twoRuns(t, s)
	for percent := 10; percent <= 60; percent += 10 {
		s.advance(500 * time.Millisecond)
		s.progress(starts[0], percent)
		s.progress(starts[1], percent)
		s.report("a")
		s.report("b")
		s.plan()
		if stopped := s.stops(); len(stopped) > 0 {
			t.Fatalf("runs stopped on %v at %d%%", stopped, percent)
		}
	}
}

// Guards against a job that is late because one of its tasks runs on a slow worker.
func TestRunMuchSlowerThanItsSiblingIsMoved(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	starts := twoRuns(t, s)
	for tick := 1; tick <= 8; tick++ {
		s.advance(500 * time.Millisecond)
		s.progress(starts[0], min(99, 25*tick))
		s.progress(starts[1], 2*tick)
		s.report("a")
		s.report("b")
		s.plan()
		if stopped := s.stops(); stopped[starts[1].Worker.ID] {
			if stopped[starts[0].Worker.ID] {
				t.Fatal("the fast run was stopped, too")
			}
			return
		}
	}
	t.Error("the slow run was not moved")
}

// Guards against a task that makes no progress for the rest of the day.
func TestStalledRunIsMoved(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	starts := twoRuns(t, s)
	for range 8 {
		s.advance(400 * time.Millisecond)
		s.progress(starts[0], 5)
		s.progress(starts[1], 5)
		s.report("a")
		s.report("b")
		s.plan()
		if len(s.stops()) == 2 {
			return
		}
	}
	t.Error("runs without progress were not stopped")
}

// Guards against short urgent tasks that are 2 s late when workers hang.
func TestRunThatNeverBeginsIsMovedSoon(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	starts := twoRuns(t, s)
	for range 5 {
		s.advance(250 * time.Millisecond)
		s.progress(starts[0], 0)
		s.progress(starts[1], 0)
		s.report("a")
		s.report("b")
		s.plan()
		if len(s.stops()) == 2 {
			return
		}
	}
	t.Error("runs without any progress were not stopped within 1.25 s")
}

// Guards against stopping healthy runs as if they hung.
func TestRunThatHasBegunIsGivenTime(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	starts := twoRuns(t, s)
	for range 5 {
		s.advance(250 * time.Millisecond)
		s.progress(starts[0], 2)
		s.progress(starts[1], 2)
		s.report("a")
		s.report("b")
		s.plan()
		if stopped := s.stops(); len(stopped) > 0 {
			t.Fatalf("runs stopped on %v", stopped)
		}
	}
}

// slowJobs has tasks of several jobs run at a sixth of their speed on worker a.
func slowJobs(t *testing.T, s *site, jobs int) []StartOrder {
	t.Helper()
	s.report("a")
	var starts []StartOrder
	for n := range jobs {
		s.cell.Add(s.record(n+1, step(1)), true)
	}
	for _, o := range s.plan() {
		s.confirm(o)
		starts = append(starts, o)
	}
	for tick := 1; tick <= 3; tick++ {
		s.advance(300 * time.Millisecond)
		for i := range s.runs["a"] {
			s.runs["a"][i].Percent = 5 * tick
		}
		s.report("a")
		s.plan()
	}
	return starts
}

// Guards against urgent tasks that are late as long as a worker is slow.
func TestWorkerOnWhichTasksOfThreeJobsAreSlowIsAvoided(t *testing.T) {
	for jobs, avoided := range map[int]bool{avoidAfterFailures - 1: false, avoidAfterFailures: true} {
		s := newSite(t, 1, usualWorker("a"))
		slowJobs(t, s, jobs)
		if got := s.cell.workers["a"].health.avoided(s.now); got != avoided {
			t.Errorf("slow tasks of %d jobs: avoided is %v, want the opposite", jobs, got)
		}
	}
}

// Guards against a slow worker that is never avoided because late ends count as successes.
func TestLateEndOnASlowWorkerIsNoSuccess(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	starts := slowJobs(t, s, avoidAfterFailures-1)
	s.advance(5 * time.Second)
	s.finish(starts[0], runner.Done)
	s.report("a")
	if streak := s.cell.workers["a"].health.failureStreak; streak != avoidAfterFailures-1 {
		t.Errorf("streak %d after a late end, want %d", streak, avoidAfterFailures-1)
	}
}
