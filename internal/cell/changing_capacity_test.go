package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/resource"
	"gentianstand/internal/roster"
)

// changingCapacity is a load on workers whose capacity shrinks and grows while they run.
type changingCapacity struct {
	*load
	// initial holds the capacities at the start.
	initial map[string]resource.Amount
}

func newChangingCapacity(t *testing.T) *changingCapacity {
	s := &changingCapacity{load: newLoad(t, 12), initial: map[string]resource.Amount{}}
	for id, w := range s.workers {
		s.initial[id] = w.roster.Capacity
	}
	return s
}

// changeCapacity gives a random worker another capacity, from none to all of each resource.
func (s *changingCapacity) changeCapacity() {
	ids := s.workerIDs()
	w := s.workers[ids[s.rnd.Intn(len(ids))]]
	full := s.initial[w.roster.ID]
	w.roster.Capacity = resource.Amount{MilliCPU: full.MilliCPU * int64(s.rnd.Intn(5)) / 4, MemoryMiB: full.MemoryMiB * int64(s.rnd.Intn(5)) / 4}
	s.cell.UpdateRoster(roster.Change{Workers: []roster.Worker{w.roster}}, s.now)
}

// checkCapacity fails the test if a run that started now exceeds the capacity of its worker. Runs
// that are being stopped count.
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
			s.t.Fatalf("%v: a start raises the use of worker %s to %v of %v", s.now.Sub(siteStart), id, used, w.roster.Capacity)
		}
	}
}

// Guards against a start that exceeds the capacity which the worker has at that moment.
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
		t.Errorf("%d jobs have not ended", left)
	}
}

// Guards against starting tasks on a worker that has lost the store, for a capacity that it may no
// longer have.
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
			t.Errorf("%s was started on the worker whose roster entry has expired", task)
		}
	}
}

// All roster entries expire during a store outage. The workers still answer their owner, are back
// in the roster within 2 s, and stay in use meanwhile.
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
