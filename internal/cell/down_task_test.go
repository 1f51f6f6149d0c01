package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// Guards against a long-running task that is down for seconds without a reason in the log.
func TestDownLongRunningTasksHaveAReason(t *testing.T) {
	wide := longRunning(1, 0)
	wide.Need.MilliCPU = 15500
	for _, test := range []struct {
		name    string
		step    job.Step
		advised bool
		arrange func(s *site, task string)
		want    DownReason
	}{
		{"no free capacity", wide, false, func(s *site, _ string) { s.cell.Add(s.record(9, step(16)), true) }, CapacityExhausted},
		{"its start within the urgent reserve is not answered", wide, false, nil, RunOrdered},
		{"a request for advice is pending", longRunning(1, 0), true, nil, AdvicePending},
		{"its start is not answered", longRunning(1, 0), false, nil, RunOrdered},
		{"its workers were lost", longRunning(1, 0), false, func(s *site, task string) {
			s.cell.taskByName(task).crashes = crashHistory{unresponsive: []uint64{1, 2, 3}, lostAt: s.now}
		}, CrashBackoff},
	} {
		s := newSite(t, 1, usualWorker("a"))
		s.report("a")
		r := s.record(1, test.step)
		r.Priority = 1
		if test.advised {
			r = advised(r, 30*time.Millisecond)
		}
		s.cell.Add(r, true)
		if test.arrange != nil {
			test.arrange(s, r.ID+".0.0.0")
		}
		s.cell.taskByName(r.ID + ".0.0.0").stage.lostWorkers = true
		s.plan()
		s.advance(downAfter)
		s.report("a")
		down, total := s.cell.DownTasks(4, s.now)
		if total != 1 || down[0].Reason != test.want || down[0].DownFor < downAfter {
			t.Errorf("%s: %+v, want %s", test.name, down, test.want)
		}
	}
}

// Guards against a long-running task that is reported as down although it runs.
func TestRunningLongRunningTaskIsNotDown(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	r := s.record(1, longRunning(1, 0))
	s.cell.Add(r, true)
	start := s.plan()[r.ID+".0.0.0"]
	s.confirm(start)
	s.runs["a"] = []runner.RunState{{Task: start.Start.Task, Run: 1, Percent: workingPercent}}
	for range 5 {
		s.advance(time.Second)
		s.report("a")
		if down, total := s.cell.DownTasks(4, s.now); total != 0 {
			t.Fatalf("reported as down: %+v", down)
		}
	}
}

// Guards against a log in which a run that its worker confirmed looks like a start without an answer.
func TestConfirmedRunIsNotReportedAsOrdered(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	r := s.record(1, longRunning(1, 0))
	s.cell.Add(r, true)
	start := s.plan()[r.ID+".0.0.0"]
	s.advance(downAfter)
	s.report("a")
	before, _ := s.cell.DownTasks(4, s.now)
	s.confirm(start)
	s.report("a")
	after, _ := s.cell.DownTasks(4, s.now)
	if before[0].Reason != RunOrdered || after[0].Reason != RunStarting {
		t.Errorf("%s before the start was answered and %s after it, want %s and %s", before[0].Reason, after[0].Reason, RunOrdered, RunStarting)
	}
}

// Guards against a log that counts capacity which is about to leave as free.
func TestDrainingWorkersCountAsNoFreeCapacity(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	s.report("a")
	s.report("b")
	r := s.record(1, longRunning(1, 0))
	s.cell.Add(r, true)
	s.advance(downAfter)
	for left, id := range []string{"b", "a"} {
		want := 1 - left
		s.cell.workers[id].Draining = true
		down, _ := s.cell.DownTasks(4, s.now)
		if down[0].WorkersWithCapacity != want || want == 0 && down[0].Reason != CapacityExhausted {
			t.Errorf("%+v when %s drains, want %d workers with capacity", down[0], id, want)
		}
	}
}

// Guards against a log in which a task looks as if it had gone down with the latest takeover.
func TestDowntimeSinceATakeoverIsRecognisable(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	r := s.record(1, longRunning(1, 0))
	s.cell.Add(r, true)
	s.plan()
	s.advance(downAfter)
	s.takeOver(r, "a")
	s.advance(downAfter)
	down, _ := s.cell.DownTasks(4, s.now)
	if down[0].OwnerAge != downAfter || down[0].DownFor != down[0].OwnerAge {
		t.Errorf("down before the takeover: %+v, want both times to be %v", down[0], downAfter)
	}
	s.report("a")
	s.commit()
	s.confirm(s.plan()[r.ID+".0.0.0"])
	s.runs["a"][0].Percent = workingPercent
	s.report("a")
	s.advance(downAfter)
	down, _ = s.cell.DownTasks(4, s.now)
	if down[0].OwnerAge <= down[0].DownFor {
		t.Errorf("down since this owner saw it at work: %+v, want a longer time since the takeover", down[0])
	}
}

// Guards against a log in which workers that nobody reaches look like workers that failed runs.
func TestTaskBesideUnresponsiveWorkersHasItsOwnReason(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	s.report("a")
	s.report("b")
	s.cell.Add(s.record(1, longRunning(1, 0)), true)
	for _, test := range []struct {
		answers bool
		want    DownReason
	}{{false, WorkersUnresponsive}, {true, WorkersUnavailable}} {
		s.advance(downAfter)
		s.cell.PollFailed("a", runner.ErrNoAnswer, s.now)
		s.cell.PollFailed("b", runner.ErrNoAnswer, s.now)
		if test.answers {
			s.report("b")
			for _, job := range []string{"x", "y", "z"} {
				s.cell.workers["b"].health.failed(job, s.now)
			}
		}
		if down, _ := s.cell.DownTasks(1, s.now); down[0].Reason != test.want {
			t.Errorf("a worker answers: %v: %+v, want %s", test.answers, down, test.want)
		}
	}
}
