package planner_test

import (
	"fmt"
	"testing"

	"gentianstand/internal/fleet"
	"gentianstand/internal/run"
	"gentianstand/internal/worker"
)

// restartUnder restarts each worker that runs a task of the workload. It
// returns the number of restarted workers.
func (s *site) restartUnder(workload string) int {
	restarts := 0
	for id, tasks := range s.tasks {
		for _, status := range tasks {
			if status.Workload == workload && status.State == worker.Running {
				restarts++
				s.boots[id] = fmt.Sprintf("%s+", s.boots[id])
				s.tasks[id] = map[worker.TaskRef]worker.TaskStatus{}
				s.report(id, fleet.Ready)
				break
			}
		}
	}
	return restarts
}

// Guards against immediate, unlimited restarts of a task that crashes its
// workers.
func TestTaskThatRestartsItsWorkersFails(t *testing.T) {
	s := newSite(t, 4, fourCores, teams+work("batches", "bad", "a", 1, 1, "    retries: 5\n"))
	restarts := 0
	for range 600 {
		s.step()
		restarts += s.restartUnder("bad")
	}
	if restarts > 3 {
		t.Errorf("%d worker restarts before the task failed, want at most 3", restarts)
	}
	s.expectState("bad", run.Failed)
}

// A service never fails permanently, so one that crashes its workers is
// restarted with exponential backoff up to 1 min: at most 7 times in the first
// minute.
func TestServiceThatRestartsItsWorkersBacksOff(t *testing.T) {
	s := newSite(t, 4, fourCores, teams+"services:\n  - name: bad\n    team: a\n    resources: {cpu: 1, memory: 1GiB}\n")
	restarts := 0
	for range 600 {
		s.step()
		restarts += s.restartUnder("bad")
	}
	if restarts > 7 {
		t.Errorf("%d worker restarts by the service in a minute, want at most 7", restarts)
	}
}

// Workers restart 3 times in a row under tasks that have been running for a
// while. Such restarts are not counted against the tasks, and the batch
// succeeds.
func TestRestartAfterStartupIsNotCounted(t *testing.T) {
	s := newSite(t, 4, fourCores, teams+work("batches", "good", "a", 2, 1, "    retries: 0\n"))
	for range 4 {
		s.steps(150)
		s.restartUnder("good")
	}
	s.steps(20)
	s.end("good", worker.Succeeded, nil)
	s.steps(5)
	s.expectState("good", run.Succeeded)
}
