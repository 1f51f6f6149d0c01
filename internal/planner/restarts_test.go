package planner_test

import (
	"fmt"
	"testing"

	"gentianstand/internal/fleet"
	"gentianstand/internal/run"
	"gentianstand/internal/worker"
)

// restartUnder has each worker that runs a workload's task start anew, and returns how
// many did.
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

// Failure: a task that restarts its workers is started again at once, without a limit.
func TestTaskThatRestartsItsWorkersFails(t *testing.T) {
	s := newSite(t, 4, fourCores, teams+work("batches", "bad", "a", 1, 1, "    retries: 5\n"))
	restarts := 0
	for range 600 {
		s.step()
		restarts += s.restartUnder("bad")
	}
	if restarts > 3 {
		t.Errorf("%d workers restarted under the task", restarts)
	}
	s.expectState("bad", run.Failed)
}

// A service is never given up, so one that restarts its workers is started with longer and
// longer waits between, up to a minute: at most seven times in the first minute.
func TestServiceThatRestartsItsWorkersBacksOff(t *testing.T) {
	s := newSite(t, 4, fourCores, teams+"services:\n  - name: bad\n    team: a\n    resources: {cpu: 1, memory: 1GiB}\n")
	restarts := 0
	for range 600 {
		s.step()
		restarts += s.restartUnder("bad")
	}
	if restarts > 7 {
		t.Errorf("%d workers restarted under the service in a minute", restarts)
	}
}

// A worker restarts under tasks that have worked there for a while, three times in a row
// on different workers: they are not at fault, and the batch is done in the end.
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
