package planner_test

import (
	"testing"
	"time"
)

// TestUrgentPreempts: when all workers are full, an urgent task starts by
// preempting the tasks that lose least work, and never another team's protected
// ones.
func TestUrgentPreempts(t *testing.T) {
	text := teams + work("batches", "plain", "a", 8, 1, "") + "  - name: guarded\n    team: b\n    tasks: 8\n    resources: {cpu: 1, memory: 1GiB}\n" +
		"  - name: rush\n    team: a\n    urgency: urgent\n    tasks: 2\n    resources: {cpu: 1, memory: 1GiB}\n    start: on-submit\n"
	s := newSite(t, 4, fourCores, text)
	s.steps(3)
	s.expectRunning("plain", 8)
	s.expectRunning("guarded", 8)
	s.core.Submit("rush", "rush-1", "test", s.now, func(error) {})
	asked := s.now
	for s.running("rush") < 2 && s.now.Sub(asked) < 4700*time.Millisecond {
		s.step()
	}
	s.expectRunning("rush", 2)
	s.expectRunning("guarded", 8)
	s.expectRunning("plain", 6)
}

// TestUrgentNeverStopsUnrepeatable: a task that must not be repeated is never
// preempted for urgent work.
func TestUrgentNeverStopsUnrepeatable(t *testing.T) {
	text := teams + work("batches", "letters", "a", 4, 1, "    idempotent: false\n") + "  - name: rush\n    team: a\n    urgency: urgent\n    resources: {cpu: 1, memory: 1GiB}\n    start: on-submit\n"
	s := newSite(t, 1, fourCores, text)
	s.steps(2)
	s.core.Submit("rush", "rush-1", "test", s.now, func(error) {})
	s.steps(60)
	s.expectRunning("letters", 4)
	s.expectRunning("rush", 0)
}
