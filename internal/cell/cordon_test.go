package cell

import (
	"testing"

	"gentianstand/internal/runner"
)

// Guards against a take-over after which nothing is placed for 4 to 5 s although only one worker is
// unresponsive: only the tasks that were running there must wait.
func TestOnlyTheRunsOfAnUnresponsiveWorkerWait(t *testing.T) {
	before := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	before.report("a")
	before.report("b")
	spread := step(2)
	spread.MaxPerWorker = 1
	r := before.record(1, spread)
	before.cell.Add(r, true)
	onB := ""
	for task, o := range before.plan() {
		before.confirm(o)
		if o.Worker.ID == "b" {
			onB = task
		}
	}
	before.cell.PollFailed("b", runner.ErrNoAnswer, before.now)
	before.advance(unresponsiveAfter)
	before.plan()
	commit := before.cell.NextCommit(10)
	waiting := before.record(2, step(3))

	s := newSite(t, 2, usualWorker("a"), usualWorker("b"), usualWorker("c"))
	s.now = before.now
	s.runs["a"] = before.runs["a"]
	s.cell.Load(r, nil)
	s.cell.Load(waiting, nil)
	for _, chunk := range commit.Chunks {
		s.cell.LoadWorkers(chunk.Workers, s.now)
	}
	s.report("a")
	s.report("c")
	starts := s.plan()
	if len(starts) != 3 {
		t.Errorf("%d starts while worker b is unresponsive, want the 3 waiting tasks: %v", len(starts), starts)
	}
	if again, ok := starts[onB]; ok {
		t.Errorf("run %d of the task on b was started", again.Start.Run)
	}
	s.advance(s.cell.earlierLeaseLimit())
	s.report("a")
	s.report("c")
	if _, ok := s.plan()[onB]; !ok {
		t.Error("the task on b is not started although the lease must have expired")
	}
}

// Guards against stopping a healthy run after a take-over because an older run of its task is
// stored.
func TestAReportedRunReplacesAnOlderStoredOne(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"))
	r := s.record(1, step(1))
	s.cell.Load(r, nil)
	task := r.ID + ".0.0.0"
	s.cell.LoadWorkers([]KnownWorker{{ID: "b", Address: "b:1", Cordoned: true, Runs: []KnownRun{{Task: task, Run: 1}}}}, s.now)
	s.runs["a"] = []runner.RunState{{Task: task, Run: 2, Percent: 50}}
	s.report("a")
	s.plan()
	for _, o := range s.orders {
		t.Errorf("unexpected order %T %v", o, o)
	}
	if used := s.cell.workers["a"].used.MilliCPU; used != 1000 {
		t.Errorf("%d thousandths of a core of a are accounted, want 1000", used)
	}
}

// Guards against a task that runs twice: a cordoned worker is used again before it is stored as
// uncordoned.
func TestUncordonedWorkerGetsNothingBeforeItIsStored(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	s.cell.PollFailed("a", runner.ErrNoAnswer, s.now)
	s.advance(unresponsiveAfter)
	s.plan()
	s.commit()
	s.cell.Add(s.record(1, step(1)), true)
	s.report("a")
	s.advance(watchPeriod)
	if starts := s.plan(); len(starts) > 0 {
		t.Fatalf("started %v on a cordoned worker", starts)
	}
	s.commit()
	if starts := s.plan(); len(starts) != 1 {
		t.Errorf("%d starts after the commit, want 1", len(starts))
	}
}
