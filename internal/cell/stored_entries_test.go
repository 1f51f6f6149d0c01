package cell

import (
	"maps"
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
)

// drain has a worker register as draining, so that it is cordoned.
func (s *site) drain(id string) {
	s.t.Helper()
	draining := usualWorker(id)
	draining.Draining, draining.Remaining = true, time.Minute
	s.register(draining)
	s.advance(watchPeriod)
	s.plan()
}

// commitOnce stores one commit with room for limit jobs and chunks.
func (s *site) commitOnce(limit int) *Commit {
	commit := s.cell.NextCommit(limit)
	for _, chunk := range commit.Chunks {
		s.chunks[chunk.Number] = chunk.Workers
	}
	s.cell.Committed(commit)
	return commit
}

// Guards against a task that runs again after its success: the end of its run on a draining worker is
// seen, the worker's entry is stored without the run, and the owner is lost before the job is stored.
func TestRunWithAnEndThatIsNotStoredStaysInTheEntryOfItsWorker(t *testing.T) {
	for _, drainsFirst := range []bool{true, false} {
		s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
		s.report("a")
		r, task, _ := s.twoSteps()
		other := s.record(2, step(1))
		other.Service = "another"
		s.cell.Add(r, true)
		s.cell.Add(other, true)
		first := s.plan()[task]
		s.confirm(first)
		s.report("a")
		s.commit()
		if drainsFirst {
			s.drain("a")
			s.commit()
		}
		s.endAndReport("a", task, first.Start.Run)
		if !drainsFirst {
			s.drain("a")
		}
		s.cell.Cancel(other.ID, s.now)
		if commit := s.commitOnce(2); len(commit.Items) != 1 || commit.Items[0].Job != other.ID || len(commit.Chunks) != 1 {
			t.Fatalf("stored %+v, want the other job and the entry of the worker", commit)
		}
		stored := maps.Clone(s.chunks)
		s.commit()
		if runs := s.chunks[chunkOf("a")][0].Runs; len(runs) > 0 {
			t.Errorf("the entry lists %v although the end is stored", runs)
		}
		s.chunks = stored
		s.takeOver(r, "a", "b")
		s.report("b")
		s.commit()
		s.report("b")
		if again, ok := s.plan()[task]; ok {
			t.Errorf("run %d was started although run %d has succeeded", again.Start.Run, first.Start.Run)
		}
	}
}

// Guards against a task that runs again after its success: the end of its run is seen, the worker
// leaves the roster and is cut off, and the owner is lost before the job is stored.
func TestWorkerIsNotForgottenBeforeItsEndsAreStored(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	s.report("a")
	s.report("b")
	r, task, _ := s.twoSteps()
	s.cell.Add(r, true)
	first := s.plan()[task]
	s.confirm(first)
	s.report("a")
	s.commit()
	s.endAndReport("a", task, first.Start.Run)
	s.cell.UpdateRoster(roster.Change{Removed: []string{"a"}}, s.now)
	s.cell.PollFailed("a", runner.ErrNoAnswer, s.now)
	s.advance(watchPeriod)
	s.plan()
	commit := s.cell.NextCommit(1)
	if len(commit.Chunks) > 0 {
		s.chunks[chunkOf("a")] = commit.Chunks[0].Workers
	}
	stored := maps.Clone(s.chunks)
	s.cell.CommitFailed(commit)
	s.commit()
	s.advance(watchPeriod)
	s.plan()
	s.commit()
	if left := s.chunks[chunkOf("a")]; len(left) > 0 {
		t.Errorf("%v is still stored although all ends are", left)
	}
	s.chunks = stored
	s.takeOver(r, "b")
	s.report("b")
	s.commit()
	s.report("b")
	if again, ok := s.plan()[task]; ok {
		t.Errorf("run %d was started although run %d has succeeded", again.Start.Run, first.Start.Run)
	}
}

// Guards against a workspace that exceeds its quota after two takeovers: the first new owner does not
// account for a run that a cordoned worker may have, and stores the worker without it.
func TestUncountedRunsStayInTheEntryOfTheirWorker(t *testing.T) {
	s := newSiteWith(t, Settings{Term: 2, Lease: 3500 * time.Millisecond, PreviousOwnerStopped: true}, usualWorker("a"), usualWorker("b"))
	s.configure(1, "north", cores(3))
	cancelled := s.recordOf("north", 1, step(1))
	run := KnownRun{Task: cancelled.ID + ".0.0.0", Run: 1}
	clear(s.chunks)
	for _, k := range []KnownWorker{{ID: "a", Address: "a:1", Cordoned: true, Runs: []KnownRun{run}}, {ID: "b", Address: "b:1"}} {
		s.chunks[chunkOf(k.ID)] = append(s.chunks[chunkOf(k.ID)], k)
	}
	for range 2 {
		settings := s.cell.settings
		settings.Term++
		s.cell = New(settings, s.now, quietLog())
		s.cell.Load(cancelled, &job.Progress{Final: job.Cancelled, EndedAtMillis: s.now.UnixMilli()})
		s.cell.SetRoster([]roster.Worker{usualWorker("a"), usualWorker("b")}, s.now)
		for _, known := range s.chunks {
			s.cell.LoadWorkers(known, s.now)
		}
		s.cell.WorkersLoaded()
		s.configure(1, "north", cores(3))
		s.report("b")
		s.plan()
		s.commit()
	}
	s.cell.Add(s.recordOf("north", 2, step(3)), true)
	if starts := s.plan(); len(starts) != 2 {
		t.Errorf("%d starts beside a run that may continue under a quota of 3, want 2", len(starts))
	}
	s.report("a")
	s.advance(watchPeriod)
	if starts := s.plan(); len(starts) != 1 {
		t.Errorf("%d starts once the worker has reported that nothing runs there, want 1", len(starts))
	}
}
