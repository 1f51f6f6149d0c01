package cell

import (
	"testing"

	"gentianstand/internal/job"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
)

// Failure: sixty tasks ran twice at once after a take-over.
func TestWorkersThatLeftTheRosterAreAccountedFor(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"))
	r := s.record(1, step(1))
	s.cell.Load(r, nil)
	task := r.ID + ".0.0.0"
	s.cell.LoadWorkers([]KnownWorker{{ID: "b", Address: "b:1"}}, s.now)
	s.report("a")
	if again, ok := s.plan()[task]; ok {
		t.Fatalf("run %d was started although b has not reported", again.Start.Run)
	}
	s.runs["b"] = []runner.RunState{{Task: task, Run: 1, Percent: 50}}
	s.report("b")
	s.report("a")
	if again, ok := s.plan()[task]; ok {
		t.Fatalf("run %d was started beside the one on b", again.Start.Run)
	}
	s.end("b", task, 1, runner.Done)
	s.report("b")
	s.commit()
	if state, _ := s.cell.State(r.ID); state != job.Completed {
		t.Errorf("state %q, want completed", state)
	}
}

// A run is placed only on a worker that the store names, so that the next owner
// looks for it there.
func TestNothingIsPlacedOnAWorkerBeforeItIsStored(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	s.cell.UpdateRoster(roster.Change{Workers: []roster.Worker{usualWorker("b")}}, s.now)
	s.report("b")
	two := step(2)
	two.MaxPerWorker = 1
	s.cell.Add(s.record(1, two), true)
	if starts := s.plan(); len(starts) != 1 {
		t.Fatalf("%d starts, want one on the stored worker", len(starts))
	}
	commit := s.cell.NextCommit(10)
	if len(commit.Chunks) != 1 || commit.Chunks[0].Workers[0].ID != "b" && len(commit.Chunks[0].Workers) < 2 {
		t.Fatalf("chunks %+v", commit.Chunks)
	}
	s.cell.Committed(commit)
	if starts := s.plan(); len(starts) != 1 {
		t.Errorf("%d starts after the worker was stored, want one", len(starts))
	}
}

// Failure: after a take-over in the middle of a wave of upkeep nothing older is started
// for 5.3 s.
func TestWorkersWithoutAStoredRowDoNotDelayRecovery(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("down"))
	older := s.record(1, step(1))
	s.cell.Load(older, nil)
	s.cell.LoadWorkers([]KnownWorker{{ID: "a", Address: "a:1"}}, s.now)
	s.cell.WorkersLoaded()
	s.report("a")
	if starts := s.plan(); len(starts) != 1 {
		t.Errorf("%d starts beside a worker that the store does not name, want 1", len(starts))
	}
	later := newSite(t, 2, usualWorker("a"))
	later.cell.Load(older, nil)
	later.cell.LoadWorkers([]KnownWorker{{ID: "a", Address: "a:1"}}, later.now)
	later.cell.WorkersLoaded()
	later.cell.UpdateRoster(roster.Change{Workers: []roster.Worker{usualWorker("down")}}, later.now)
	later.report("a")
	if starts := later.plan(); len(starts) != 1 {
		t.Errorf("%d starts beside a worker that the roster adds later, want 1", len(starts))
	}
}

// Failure: a task runs twice.
func TestUnreadWorkersDelayRecovery(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	s.cell.Load(s.record(1, step(1)), nil)
	s.cell.LoadWorkers([]KnownWorker{{ID: "a", Address: "a:1"}}, s.now)
	s.report("a")
	if starts := s.plan(); len(starts) > 0 {
		t.Errorf("started beside a worker that may have runs: %v", starts)
	}
}
