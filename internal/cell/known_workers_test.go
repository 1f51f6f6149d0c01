package cell

import (
	"testing"

	"gentianstand/internal/job"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
)

// Guards against tasks that run twice at once after a takeover, as 60 did: a worker that has left
// the roster may still run them.
func TestWorkersThatLeftTheRosterAreAccountedFor(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"))
	r := s.record(1, step(1))
	s.cell.Load(r, nil)
	task := r.ID + ".0.0.0"
	s.cell.LoadWorkers([]KnownWorker{{ID: "b", Address: "b:1"}}, s.now)
	s.report("a")
	if again, ok := s.plan()[task]; ok {
		t.Fatalf("run %d was started before b has reported", again.Start.Run)
	}
	s.runs["b"] = []runner.RunState{{Task: task, Run: 1, Percent: 50}}
	s.report("b")
	s.report("a")
	if again, ok := s.plan()[task]; ok {
		t.Fatalf("run %d was started while the one on b continues", again.Start.Run)
	}
	s.end("b", task, 1, runner.Done)
	s.report("b")
	s.commit()
	if state, _ := s.cell.State(r.ID); state != job.Completed {
		t.Errorf("state %q, want completed", state)
	}
}

// Tasks are placed only on workers that are stored, so that the next owner expects their runs
// there.
func TestNothingIsPlacedOnAWorkerBeforeItIsStored(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	s.cell.UpdateRoster(roster.Change{Workers: []roster.Worker{usualWorker("b")}}, s.now)
	s.report("b")
	two := step(2)
	two.MaxPerWorker = 1
	s.cell.Add(s.record(1, two), true)
	if starts := s.plan(); len(starts) != 1 {
		t.Fatalf("%d starts, want 1 on the stored worker", len(starts))
	}
	commit := s.cell.NextCommit(10)
	if len(commit.Chunks) != 1 || commit.Chunks[0].Workers[0].ID != "b" && len(commit.Chunks[0].Workers) < 2 {
		t.Fatalf("chunks %+v", commit.Chunks)
	}
	s.cell.Committed(commit)
	if starts := s.plan(); len(starts) != 1 {
		t.Errorf("%d starts after the worker was stored, want 1", len(starts))
	}
}

// Guards against a takeover in the middle of a maintenance wave after which tasks of older jobs
// are held back for 5.3 s: workers that the store does not name have no runs.
func TestWorkersWithoutAStoredRowDoNotDelayRecovery(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("down"))
	older := s.record(1, step(1))
	s.cell.Load(older, nil)
	s.cell.LoadWorkers([]KnownWorker{{ID: "a", Address: "a:1"}}, s.now)
	s.cell.WorkersLoaded()
	s.report("a")
	if starts := s.plan(); len(starts) != 1 {
		t.Errorf("%d starts with a worker that the store does not name, want 1", len(starts))
	}
	later := newSite(t, 2, usualWorker("a"))
	later.cell.Load(older, nil)
	later.cell.LoadWorkers([]KnownWorker{{ID: "a", Address: "a:1"}}, later.now)
	later.cell.WorkersLoaded()
	later.cell.UpdateRoster(roster.Change{Workers: []roster.Worker{usualWorker("down")}}, later.now)
	later.report("a")
	if starts := later.plan(); len(starts) != 1 {
		t.Errorf("%d starts with a worker that the roster adds later, want 1", len(starts))
	}
}

// Guards against a task that runs twice because a new owner places tasks before it has read all
// stored workers.
func TestUnreadWorkersDelayRecovery(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	s.cell.Load(s.record(1, step(1)), nil)
	s.cell.LoadWorkers([]KnownWorker{{ID: "a", Address: "a:1"}}, s.now)
	s.report("a")
	if starts := s.plan(); len(starts) > 0 {
		t.Errorf("started while a worker may have runs: %v", starts)
	}
}
