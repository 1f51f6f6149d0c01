package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/resource"
	"gentianstand/internal/roster"
)

// changingCapacity is a load on workers whose rooms shrink and grow while they run.
type changingCapacity struct {
	*load
	// initial are the rooms as they were at first.
	initial map[string]resource.Amount
}

func newChangingCapacity(t *testing.T) *changingCapacity {
	s := &changingCapacity{load: newLoad(t, 12), initial: map[string]resource.Amount{}}
	for id, w := range s.workers {
		s.initial[id] = w.roster.Capacity
	}
	return s
}

// changeCapacity gives one worker another room, between none of some kind and all.
func (s *changingCapacity) changeCapacity() {
	ids := s.workerIDs()
	w := s.workers[ids[s.rnd.Intn(len(ids))]]
	full := s.initial[w.roster.ID]
	w.roster.Capacity = resource.Amount{MilliCPU: full.MilliCPU * int64(s.rnd.Intn(5)) / 4, MemoryMiB: full.MemoryMiB * int64(s.rnd.Intn(5)) / 4}
	s.cell.UpdateRoster(roster.Change{Workers: []roster.Worker{w.roster}}, s.now)
}

// checkCapacity fails the test if a run that began now is more than its worker has room for. What
// is being stopped counts.
func (s *changingCapacity) checkCapacity() {
	s.t.Helper()
	for id, w := range s.workers {
		var used resource.Amount
		began := false
		for task, r := range w.runs {
			parsed, err := job.ParseTaskID(task)
			if err != nil {
				s.t.Fatal(err)
			}
			used = used.Add(s.cell.jobs[parsed.Job].record.Steps[parsed.Step].Occupied())
			began = began || r.began.Equal(s.now)
		}
		if began && !used.Fits(w.roster.Capacity) {
			s.t.Fatalf("%v: a start brings worker %s to %v of %v", s.now.Sub(siteStart), id, used, w.roster.Capacity)
		}
	}
}

// Failure: a start brings a worker over the room that it has at that moment.
func TestStartsFitShrinkingCapacity(t *testing.T) {
	s := newChangingCapacity(t)
	s.maxStopTime = 900 * time.Millisecond
	large := letters(1)
	large.Need.MilliCPU = 12000
	for end := s.now.Add(12 * time.Second); s.now.Before(end); s.checkCapacity() {
		if s.rnd.Intn(10) == 0 {
			s.changeCapacity()
		}
		if s.rnd.Intn(15) == 0 {
			s.submit("lookup", 0, lookup(6))
			s.submit("letters", 2, letters(2))
			s.submit("large", 1, large)
			s.submit("gang", 1, gang(3))
		}
		s.step()
	}
	for id, w := range s.workers {
		w.roster.Capacity = s.initial[id]
		s.cell.UpdateRoster(roster.Change{Workers: []roster.Worker{w.roster}}, s.now)
	}
	for end := s.now.Add(4 * time.Minute); s.now.Before(end) && len(s.cell.active) > 0; s.checkCapacity() {
		s.step()
	}
	if left := len(s.cell.active); left > 0 {
		t.Errorf("%d jobs are not done", left)
	}
}

// Failure: a worker that lost the store gets tasks for a room that it has no more.
func TestWorkerWhoseEntryExpiresAloneGetsNoNewTasks(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	for range 6 {
		s.advance(700 * time.Millisecond)
		s.cell.UpdateRoster(roster.Change{Workers: []roster.Worker{usualWorker("a")}}, s.now)
		s.report("a")
		s.report("b")
	}
	s.cell.UpdateRoster(roster.Change{Workers: []roster.Worker{usualWorker("a")}, Removed: []string{"b"}}, s.now)
	s.cell.Add(s.record(1, step(20)), true)
	for task, order := range s.plan() {
		if order.Worker.ID == "b" {
			t.Errorf("%s was started on the worker whose entry has lapsed", task)
		}
	}
}

// All entries lapse while the store is away. Their workers answer their owner, are back in
// the list within two seconds, and are used meanwhile.
func TestWorkersWhoseEntriesExpireInAStoreOutageStayInUse(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	s.cell.UpdateRoster(roster.Change{Workers: []roster.Worker{usualWorker("a"), usualWorker("b")}}, s.now)
	s.advance(6 * time.Second)
	s.report("a")
	s.report("b")
	s.cell.UpdateRoster(roster.Change{Removed: []string{"a", "b"}}, s.now)
	s.advance(time.Second)
	s.report("a")
	s.report("b")
	s.cell.Add(s.record(1, step(20)), true)
	if got := len(s.plan()); got != 20 {
		t.Errorf("%d of 20 tasks were started", got)
	}
}
