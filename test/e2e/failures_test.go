package e2e

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	standplatform "gentianstand/internal/standin/platform"
	standworker "gentianstand/internal/standin/worker"
)

// newLoadedCluster returns a cluster that has applied serviceText and runs its workloads.
func newLoadedCluster(t *testing.T) *cluster {
	t.Helper()
	t.Parallel()
	s := newCluster(t, 3, 6, 2)
	s.awaitOwned()
	s.apply(s.instances[0], serviceText)
	s.awaitRunning(s.instances[0], "casedesk", 6)
	s.awaitRunning(s.instances[0], "watch", 3)
	for _, inst := range s.instances {
		s.awaitAnswered(inst, "casedesk/first")
	}
	return s
}

// starts returns the number of starts of each task.
func starts(events []standworker.Event) map[string]int {
	counts := map[string]int{}
	for _, e := range events {
		if e.Type == standworker.TaskStarted {
			counts[e.Task]++
		}
	}
	return counts
}

// startsOf returns the total number of starts of the tasks whose name contains part.
func startsOf(events []standworker.Event, part string) int {
	n := 0
	for task, count := range starts(events) {
		if strings.Contains(task, part) {
			n += count
		}
	}
	return n
}

// Guards against work that stops or runs twice because the planner is killed.
func TestKilledPlanner(t *testing.T) {
	s := newLoadedCluster(t)
	victim := s.planner(s.instances[0])
	rest := s.others(victim)
	tr := s.sendTraffic(rest, 2)
	victim.kill()
	s.awaitState(rest[0], "letters", "succeeded")
	s.awaitRunning(rest[0], "watch", 3)
	s.awaitAnswered(rest[1], "casedesk/after")
	if ok, _, broken := tr.stop(s); ok == 0 || broken > 0 {
		t.Errorf("%d requests answered, %d broken", ok, broken)
	}
	events := s.checkRecord()
	for task, n := range starts(events) {
		if n != 1 {
			t.Errorf("task %s was started %d times", task, n)
		}
	}
}

// Guards against an owner that resumes after a freeze and starts tasks on workers which another
// instance has taken over: workers over capacity, or a task on 2 workers.
func TestFrozenOwnerReturns(t *testing.T) {
	s := newLoadedCluster(t)
	victim := s.planner(s.instances[0])
	rest := s.others(victim)
	victim.signal(syscall.SIGSTOP)
	s.await("another planner", func() error {
		st, err := s.status(rest[0])
		if err == nil && st.Planner == victim.id {
			err = fmt.Errorf("still %s", st.Planner)
		}
		return err
	})
	s.awaitAnswered(rest[0], "casedesk/meanwhile")
	victim.signal(syscall.SIGCONT)
	s.awaitState(rest[0], "letters", "succeeded")
	s.awaitAnswered(victim, "casedesk/back")
	s.awaitRunning(rest[0], "watch", 3)
	if n := startsOf(s.checkRecord(), "watch"); n != 3 {
		t.Errorf("the three watch tasks were started %d times", n)
	}
}

// Guards against tasks that run twice or stop because an owner is partitioned from the table.
func TestCutFromTable(t *testing.T) {
	s := newLoadedCluster(t)
	victim := s.planner(s.instances[0])
	rest := s.others(victim)
	s.fault(standplatform.Fault{Cut: []string{victim.id}})
	s.await("another planner", func() error {
		st, err := s.status(rest[0])
		if err == nil && st.Planner == victim.id {
			err = fmt.Errorf("still %s", st.Planner)
		}
		return err
	})
	s.awaitAnswered(victim, "casedesk/cut")
	s.awaitState(rest[0], "letters", "succeeded")
	s.fault(standplatform.Fault{})
	s.awaitRunning(rest[0], "watch", 3)
	if n := startsOf(s.checkRecord(), "watch"); n != 3 {
		t.Errorf("the three watch tasks were started %d times", n)
	}
}

// Guards against services and accepted work that stop during an outage of the platform's storage
// although workers and instances are healthy.
func TestTableOutage(t *testing.T) {
	s := newLoadedCluster(t)
	s.fault(standplatform.Fault{TableDown: true, ObjectsDown: true})
	tr := s.sendTraffic(s.instances, 2)
	down := time.Now()
	s.await("accepted batch in the outage", func() error {
		if n := startsOf(s.events(), "letters"); n < 60 {
			return fmt.Errorf("%d of 60 tasks were started", n)
		}
		return nil
	})
	out, err := s.run(s.instances[1], "", "submit", "-workload", "extra", "-key", "k1")
	if err == nil || !strings.Contains(out, "platform_unavailable") {
		t.Errorf("submit in the outage: %v %s", err, out)
	}
	time.Sleep(max(0, 14*time.Second-time.Since(down)))
	if n := startsOf(s.events(), "watch"); n != 3 {
		t.Errorf("the three watch tasks were started %d times", n)
	}
	ok, refused, broken := tr.stop(s)
	if ok == 0 || refused > 0 || broken > 0 {
		t.Errorf("in the outage: %d answered, %d refused, %d broken", ok, refused, broken)
	}
	s.fault(standplatform.Fault{})
	s.awaitState(s.instances[2], "letters", "succeeded")
	s.await("submit after the outage", func() error {
		_, err := s.run(s.instances[1], "", "submit", "-workload", "extra", "-key", "k1")
		return err
	})
	s.awaitState(s.instances[2], "extra", "succeeded")
	for task, n := range starts(s.checkRecord()) {
		if n != 1 {
			t.Errorf("task %s was started %d times", task, n)
		}
	}
}

// Guards against tasks that run twice because the planner is killed during an outage of the
// table, after starts that it could not store.
func TestPlannerKilledInOutage(t *testing.T) {
	s := newLoadedCluster(t)
	victim := s.planner(s.instances[0])
	rest := s.others(victim)
	s.fault(standplatform.Fault{TableDown: true})
	before := startsOf(s.events(), "letters")
	s.await("starts in the outage", func() error {
		if n := startsOf(s.events(), "letters"); n < before+6 {
			return fmt.Errorf("%d starts, %d before", n, before)
		}
		return nil
	})
	victim.kill()
	time.Sleep(time.Second)
	s.fault(standplatform.Fault{})
	s.awaitState(rest[0], "letters", "succeeded")
	for task, n := range starts(s.checkRecord()) {
		if n != 1 {
			t.Errorf("task %s was started %d times", task, n)
		}
	}
}

// Guards against an error for a change that was accepted, and against a duplicate run, when
// responses of the table are lost.
func TestLostAnswers(t *testing.T) {
	s := newLoadedCluster(t)
	s.fault(standplatform.Fault{LoseAnswers: 12})
	out, err := s.run(s.instances[1], strings.Replace(serviceText, "tasks: 60", "tasks: 6", 1), "apply", "-base", "1")
	if err != nil || !strings.Contains(out, "configuration 2") {
		t.Errorf("apply with lost answers: %v %s", err, out)
	}
	s.fault(standplatform.Fault{LoseAnswers: 6})
	s.await("submit with lost answers", func() error {
		_, err := s.run(s.instances[2], "", "submit", "-workload", "extra", "-key", "k1")
		return err
	})
	s.awaitState(s.instances[0], "extra", "succeeded")
	for task, n := range starts(s.checkRecord()) {
		if n != 1 {
			t.Errorf("task %s was started %d times", task, n)
		}
	}
}

// Guards against work on a dead worker, and against a new instance that stays unused, when the
// platform's list of instances is outdated.
func TestLaggingList(t *testing.T) {
	s := newLoadedCluster(t)
	s.fault(standplatform.Fault{FreezeList: true})
	s.workers[5].kill()
	replaced := s.others(s.planner(s.instances[0]))[0]
	s.restart(replaced)
	s.awaitAnswered(replaced, "casedesk/replaced")
	s.awaitRunning(s.instances[0], "watch", 3)
	s.awaitRunning(s.instances[0], "casedesk", 6)
	s.workers = s.workers[:5]
	s.checkRecord()
}

// Guards against a task on 2 workers when a worker becomes reachable again after its tasks were
// restarted elsewhere.
func TestWorkerLostAndReturned(t *testing.T) {
	s := newLoadedCluster(t)
	var cut *node
	events := s.events()
	for _, e := range events {
		if e.Type == standworker.TaskStarted && strings.Contains(e.Task, "watch") {
			for _, w := range s.workers {
				if w.id == e.Worker {
					cut = w
				}
			}
		}
	}
	s.workerFault(cut, standworker.Fault{DropAgent: true})
	s.await("tasks moved", func() error {
		if n := startsOf(s.events(), "watch"); n <= 3 {
			return fmt.Errorf("%d starts", n)
		}
		return nil
	})
	s.workerFault(cut, standworker.Fault{})
	s.awaitRunning(s.instances[0], "watch", 3)
	s.awaitState(s.instances[0], "letters", "succeeded")
	s.checkRecord()
}

// Guards against losing or repeating accepted work when all instances restart.
func TestAllInstancesRestarted(t *testing.T) {
	s := newLoadedCluster(t)
	s.await("most letters sent", func() error {
		runs, err := s.runs(s.instances[0])
		if err == nil && runs["letters"].Succeeded < 50 {
			err = fmt.Errorf("%d sent", runs["letters"].Succeeded)
		}
		return err
	})
	for _, inst := range s.instances {
		inst.kill()
	}
	for _, inst := range s.instances {
		s.restart(inst)
	}
	s.awaitState(s.instances[0], "letters", "succeeded")
	s.awaitRunning(s.instances[0], "watch", 3)
	s.awaitAnswered(s.instances[2], "casedesk/again")
	for task, n := range starts(s.checkRecord()) {
		if n != 1 {
			t.Errorf("task %s was started %d times", task, n)
		}
	}
}
