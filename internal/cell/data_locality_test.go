package cell

import (
	"testing"
	"time"

	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
)

// twoRacks returns a site with worker near on the rack with the data, and worker far on another
// rack.
func twoRacks(t *testing.T) *site {
	t.Helper()
	near, far := usualWorker("near"), usualWorker("far")
	far.Rack = "r2"
	settings := Settings{Term: 1, Lease: 3500 * time.Millisecond, StopGrace: 900 * time.Millisecond, RemoteDataFactor: 3}
	s := newSiteWith(t, settings, near, far)
	s.report("near")
	s.report("far")
	return s
}

// fill starts a task that takes all capacity of the near worker.
func (s *site) fill() StartOrder {
	s.t.Helper()
	full := wide(1)
	full.DataRack = "r1"
	s.cell.Add(s.record(1, full), true)
	for _, o := range s.plan() {
		s.confirm(o)
		return o
	}
	s.t.Fatal("the near worker was not filled")
	return StartOrder{}
}

// Guards against tasks that take 3 times as long because they run far from their data, as a fifth
// of the tasks with data on one rack did.
func TestStageWaitsForCapacityNearItsData(t *testing.T) {
	s := twoRacks(t)
	first := s.fill()
	data := step(1)
	data.DataRack = "r1"
	s.cell.Add(s.record(2, data), true)
	if starts := s.reportAndPlan("near", "far"); len(starts) > 0 {
		t.Fatalf("started far from its data at once: %v", starts)
	}
	s.finish(first, runner.Done)
	for _, o := range s.reportAndPlan("near", "far") {
		if o.Worker.ID != "near" {
			t.Errorf("started on %s, want near", o.Worker.ID)
		}
		return
	}
	t.Error("not started when there was free capacity near its data")
}

// Guards against jobs that all wait for one rack while the other workers are idle.
func TestStageRunsFarFromItsDataAfterAWhile(t *testing.T) {
	s := twoRacks(t)
	s.fill()
	data := step(1)
	data.DataRack = "r1"
	s.cell.Add(s.record(2, data), true)
	began := s.now
	for s.now.Sub(began) < 2*data.Estimate {
		for _, o := range s.reportAndPlan("near", "far") {
			if waited := s.now.Sub(began); o.Worker.ID != "far" || waited < data.Estimate/2 {
				t.Errorf("started on %s after %v", o.Worker.ID, waited)
			}
			return
		}
	}
	t.Error("not started within the time that running far from the data costs")
}

// Guards against a stage that waits for a rack on which it can never run.
func TestStageDoesNotWaitForARackThatCannotTakeIt(t *testing.T) {
	for name, change := range map[string]func(*roster.Worker){
		"too small":       func(w *roster.Worker) { w.Capacity.MilliCPU = 500 },
		"without a label": func(w *roster.Worker) { w.Labels = nil },
		"not on the rack": func(w *roster.Worker) { w.Rack = "r3" },
	} {
		near, far := usualWorker("near"), usualWorker("far")
		far.Rack = "r2"
		change(&near)
		s := newSiteWith(t, Settings{Term: 1, Lease: 3500 * time.Millisecond, RemoteDataFactor: 3}, near, far)
		s.report("near")
		s.report("far")
		data := step(1)
		data.DataRack, data.RequiredLabel = "r1", "a"
		s.cell.Add(s.record(1, data), true)
		if starts := s.plan(); len(starts) != 1 {
			t.Errorf("%s: %d starts at once, want 1", name, len(starts))
		}
	}
}

// Guards against a stage that gets no ticket for any worker near its data.
func TestWorkersNearTheDataAreAskedAboutFirst(t *testing.T) {
	workers := manyWorkers(24)
	for i := range workers {
		if i >= 3 {
			workers[i].Rack = "r2"
		}
	}
	s := newSite(t, 1, workers...)
	for _, w := range workers {
		s.report(w.ID)
	}
	data := step(2)
	data.DataRack = "r1"
	s.cell.Add(advised(s.record(1, data), 30*time.Millisecond), true)
	s.slots = AdviceSlots{Quick: 1}
	s.plan()
	for i, id := range s.adviceOrders()[0].Workers[:3] {
		if s.cell.workers[id].Rack != "r1" {
			t.Errorf("advice was requested about %s, which is far from the data, at position %d", id, i+1)
		}
	}
}
