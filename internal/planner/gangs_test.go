package planner_test

import (
	"fmt"
	"testing"

	"gentianstand/internal/fleet"
	"gentianstand/internal/worker"
)

// TestGangIsAllOrNone: a job's tasks start together or not at all.
func TestGangIsAllOrNone(t *testing.T) {
	s := newSite(t, 2, fourCores, teams+work("batches", "small", "a", 3, 1, "")+work("jobs", "gang", "a", 4, 2, "    urgency: low\n"))
	s.steps(3)
	s.expectRunning("small", 3)
	s.expectRunning("gang", 0)
	s.end("small", worker.Succeeded, nil)
	s.steps(2)
	s.expectRunning("gang", 4)
}

// Guards against a job that continues with only some of its tasks.
func TestGangRestartsTogether(t *testing.T) {
	s := newSite(t, 4, fourCores, teams+work("jobs", "gang", "a", 4, 2, ""))
	s.steps(3)
	s.expectRunning("gang", 4)
	for id, tasks := range s.tasks {
		if len(tasks) > 0 {
			s.report(id, fleet.Lost)
			break
		}
	}
	s.steps(4)
	s.expectRunning("gang", 4)
	for task, n := range s.starts {
		if n != 2 {
			t.Errorf("%s was started %d times, want 2", task, n)
		}
	}
}

// Guards against starvation of a job that needs all workers: without a
// reservation, the next small task uses any capacity that becomes free.
func TestGangIsNotStarved(t *testing.T) {
	text := teams + work("jobs", "gang", "a", 8, 2, "    run_time: 30s\n") + work("batches", "small", "a", 1, 2, "    run_time: 1m\n    start: on-submit\n")
	s := newSite(t, 4, fourCores, text)
	for i := range 6 {
		s.core.Submit("small", fmt.Sprintf("small-%d", i), "test", s.now, func(error) {})
	}
	for i := range 3000 {
		s.step()
		if s.running("gang") == 8 {
			return
		}
		if i%20 == 0 {
			s.core.Submit("small", fmt.Sprintf("more-%d", i), "test", s.now, func(error) {})
		}
		if i%40 == 39 {
			done := false
			s.end("small", worker.Succeeded, func(string, worker.TaskRef) bool { was := done; done = true; return !was })
		}
	}
	t.Fatalf("the gang never started: %+v", s.summary("gang"))
}
