package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gentianstand/internal/fleet"
	"gentianstand/internal/resource"
	"gentianstand/internal/run"
	"gentianstand/internal/worker"
)

const teams = `version: 1
teams:
  - name: a
    quota: {cpu: 8, memory: 64GiB}
  - name: b
    quota: {cpu: 8, memory: 64GiB}
    protected: true
  - name: c
    quota: {cpu: 2, memory: 64GiB}
    borrow: false
`

var fourCores = resource.Amount{MilliCPU: 4000, MemoryMiB: 16 << 10}

func work(list, name, team string, tasks, cpu int, more string) string {
	return fmt.Sprintf("%s:\n  - name: %s\n    team: %s\n    tasks: %d\n    resources: {cpu: %d, memory: 1GiB}\n%s", list, name, team, tasks, cpu, more)
}

// TestNeverRunnable: a job that fits no worker reports so at once, with the
// nearest worker and what it lacks, and does not delay other runs.
func TestNeverRunnable(t *testing.T) {
	s := newSite(t, 2, fourCores, teams+work("jobs", "huge", "a", 1, 64, "    urgency: urgent\n")+work("batches", "small", "a", 8, 1, ""))
	s.steps(2)
	s.expectRunning("small", 8)
	if reason := s.summary("huge").Reason; !strings.Contains(reason, "nearest, w") || !strings.Contains(reason, "lacks 60000m cpu") {
		t.Errorf("reason %q", reason)
	}
	s.capacity = resource.Amount{MilliCPU: 64_000, MemoryMiB: 64 << 10}
	s.report("w0", fleet.Ready)
	s.end("small", worker.Succeeded, nil)
	s.steps(3)
	s.expectRunning("huge", 1)
}

// TestQuota: a team that may not borrow stays within its quota; one that may
// borrow uses what other teams leave unused and yields when they need it.
func TestQuota(t *testing.T) {
	s := newSite(t, 4, fourCores, teams+work("batches", "strict", "c", 10, 1, "")+"  - name: greedy\n    team: a\n    tasks: 20\n    resources: {cpu: 1, memory: 1GiB}\n")
	s.steps(3)
	s.expectRunning("strict", 2)
	s.expectRunning("greedy", 14)
	if reason := s.summary("strict").Reason; reason != "team_quota_used_up" {
		t.Errorf("reason %q", reason)
	}
}

// Guards against all runs failing although only one worker of 4 is faulty.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	text := teams
	list := "batches:\n"
	for k := range 4 {
		list += fmt.Sprintf("  - name: kind%d\n    team: a\n    tasks: 10\n    retries: 20\n    resources: {cpu: 1, memory: 1GiB}\n", k)
	}
	s := newSite(t, 4, fourCores, text+list)
	failures := 0
	for range 600 {
		s.step()
		for k := range 4 {
			name := fmt.Sprintf("kind%d", k)
			s.end(name, worker.Failed, func(id string, _ worker.TaskRef) bool {
				if id == "w0" {
					failures++
				}
				return id == "w0"
			})
			s.end(name, worker.Succeeded, func(id string, _ worker.TaskRef) bool { return id != "w0" })
		}
	}
	for k := range 4 {
		s.expectState(fmt.Sprintf("kind%d", k), run.Succeeded)
	}
	if failures > 16 {
		t.Errorf("%d tasks failed on the faulty worker, want at most 16", failures)
	}
}

// TestFailingJobQuarantinesNoWorker: a job that fails on every worker must not
// cause any of them to be quarantined.
func TestFailingJobQuarantinesNoWorker(t *testing.T) {
	s := newSite(t, 3, fourCores, teams+work("batches", "bad", "a", 6, 1, "    retries: 3\n")+"  - name: good\n    team: a\n    tasks: 12\n    resources: {cpu: 1, memory: 1GiB}\n    start: on-submit\n")
	for range 400 {
		s.step()
		s.end("bad", worker.Failed, nil)
	}
	s.expectState("bad", run.Failed)
	s.core.Submit("good", "good-1", "test", s.now, func(error) {})
	s.steps(3)
	s.expectRunning("good", 12)
}

// Guards against a second execution of a task that is not idempotent, and
// against reporting an unknown outcome as a failure.
func TestNonIdempotentTaskIsNotRetried(t *testing.T) {
	s := newSite(t, 2, fourCores, teams+work("batches", "letters", "a", 2, 4, "    idempotent: false\n    retries: 5\n"))
	s.steps(2)
	s.report("w0", fleet.Lost)
	s.end("letters", worker.Succeeded, nil)
	s.steps(5)
	s.expectState("letters", run.Failed)
	r, _ := s.core.Run(s.summary("letters").ID)
	if r.Count(run.TaskUnknown) != 1 || r.Count(run.TaskSucceeded) != 1 {
		t.Errorf("tasks %+v", r.Tasks)
	}
	for task, n := range s.starts {
		if n != 1 {
			t.Errorf("%s was started %d times", task, n)
		}
	}
}

// TestDependencies: a run waits until its services run and its batches have
// succeeded.
func TestDependencies(t *testing.T) {
	text := teams + "services:\n  - name: desk\n    team: a\n    resources: {cpu: 1, memory: 1GiB}\n" +
		work("batches", "first", "a", 1, 1, "    depends_on: [desk]\n") + work("jobs", "second", "a", 1, 1, "    depends_on: [first]\n")
	s := newSite(t, 2, fourCores, text)
	s.step()
	s.expectRunning("first", 0)
	s.steps(2)
	s.expectRunning("first", 1)
	s.expectRunning("second", 0)
	s.end("first", worker.Succeeded, nil)
	s.steps(2)
	s.expectRunning("second", 1)
}

// TestMemoryOveruse: a repeatable task that uses more memory than it was given
// is restarted with its actual size.
func TestMemoryOveruse(t *testing.T) {
	s := newSite(t, 2, fourCores, teams+work("batches", "grows", "a", 1, 1, ""))
	s.steps(2)
	for id, tasks := range s.tasks {
		for ref, status := range tasks {
			status.Used.MemoryMiB = 3000
			tasks[ref] = status
			s.report(id, fleet.Ready)
		}
	}
	s.steps(4)
	s.expectRunning("grows", 1)
	for _, tasks := range s.tasks {
		for _, status := range tasks {
			if status.State == worker.Running && status.Need.MemoryMiB != 3000 {
				t.Errorf("restarted with %s, want 3000 MiB", status.Need)
			}
		}
	}
}

// TestRollingUpdate: the replicas of a changed service are replaced gradually.
func TestRollingUpdate(t *testing.T) {
	text := teams + "services:\n  - name: desk\n    team: a\n    replicas: 8\n    resources: {cpu: 1, memory: 1GiB}\n"
	s := newSite(t, 4, fourCores, text)
	s.steps(3)
	s.expectRunning("desk", 8)
	s.apply(2, text+"    command: [v2]\n")
	for range 60 {
		s.step()
		if n := s.running("desk"); n < 7 {
			t.Fatalf("only %d of 8 replicas running during the update", n)
		}
	}
	s.expectRunning("desk", 8)
	for task, n := range s.starts {
		if n != 2 {
			t.Errorf("%s was started %d times", task, n)
		}
	}
}

// TestConfigIsAppliedOnce: applying the same configuration again starts nothing
// twice, and an older configuration changes nothing.
func TestConfigIsAppliedOnce(t *testing.T) {
	text := teams + work("batches", "once", "a", 2, 1, "")
	s := newSite(t, 2, fourCores, text)
	s.steps(2)
	s.end("once", worker.Succeeded, nil)
	s.steps(2)
	s.expectState("once", run.Succeeded)
	s.apply(2, text)
	s.steps(3)
	s.apply(1, teams+work("batches", "ghost", "a", 1, 1, ""))
	s.steps(3)
	if len(s.core.Summaries()) != 1 || len(s.starts) != 2 {
		t.Errorf("runs %+v, starts %v", s.core.Summaries(), s.starts)
	}
}

// TestCancellationWave: cancelling many runs at once takes time linear in their
// number and starts none of their pending tasks.
func TestCancellationWave(t *testing.T) {
	s := newSite(t, 2, fourCores, teams+work("batches", "many", "a", 50, 1, "    start: on-submit\n"))
	for i := range 40 {
		s.core.Submit("many", fmt.Sprintf("many-%d", i), "test", s.now, func(error) {})
	}
	s.steps(2)
	before := len(s.starts)
	if n := s.core.Cancel(nil, "many", "test", s.now, func(error) {}); n != 40 {
		t.Errorf("%d runs cancelled, want 40", n)
	}
	s.steps(4)
	s.expectRunning("many", 0)
	if after := len(s.starts); after != before {
		t.Errorf("%d tasks started after the cancellation", after-before)
	}
	for _, sum := range s.core.Summaries() {
		if sum.State != run.Cancelled {
			t.Errorf("%+v", sum)
		}
	}
}

// Guards against a second start of tasks that are running on a restarted
// worker. It would happen if a report from before the restart, delivered late,
// were accepted.
func TestOutdatedReportIsDropped(t *testing.T) {
	s := newSite(t, 1, fourCores, teams+work("batches", "plain", "a", 2, 1, ""))
	s.steps(3)
	old := s.sequence
	s.boots["w0"] = "boot after restart"
	s.tasks["w0"] = map[worker.TaskRef]worker.TaskStatus{}
	s.sequence += 10
	s.report("w0", fleet.Ready)
	s.steps(3)
	s.expectRunning("plain", 2)
	s.core.Report(fleet.Report{
		Worker: "w0", Shard: "k0", Epoch: 1, Sequence: old, Region: "r", Zone: "z0", Rack: "k0",
		Capacity: s.capacity, State: fleet.Ready, Boot: "boot",
	}, s.now)
	s.steps(3)
	for task, n := range s.starts {
		if n != 2 {
			t.Errorf("%s was started %d times, want 2: before and after the restart", task, n)
		}
	}
}

// Guards against a running task without a row, which a new planner would start
// again.
func TestStartWaitsForItsRow(t *testing.T) {
	s := newSite(t, 2, fourCores, teams+work("batches", "plain", "a", 2, 1, "")+"  - name: letters\n    team: a\n    idempotent: false\n    resources: {cpu: 1, memory: 1GiB}\n")
	s.now = s.now.Add(time.Second)
	s.core.Decide(s.now, false)
	s.expectStarts("decided", 0)
	batch, err := s.core.Changes()
	if err != nil {
		t.Fatal(err)
	}
	s.expectStarts("being written", 0)
	s.report("w0", fleet.Ready)
	s.report("w1", fleet.Ready)
	s.expectStarts("reported during the write", 0)
	s.core.CommitFailed(batch, false, nil)
	s.expectStarts("write failed", 0)
	s.core.ReleaseUnwritten()
	s.expectStarts("in a confirmed outage", 2)
	batch, _ = s.core.Changes()
	s.core.Committed(batch)
	s.expectStarts("written", 1)
}

func (s *site) expectStarts(when string, want int) {
	s.t.Helper()
	n := 0
	for _, a := range s.core.Outbox() {
		n += len(a.Start)
	}
	if n != want {
		s.t.Errorf("%s: %d starts sent, want %d", when, n, want)
	}
}
