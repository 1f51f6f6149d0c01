package cell

import (
	"testing"
	"time"
)

// Guards against work that waits although workers are four fifths free: requests about full workers
// occupy all slots of the adviser.
func TestRequestsAboutFullWorkersLeaveSlotsToOthers(t *testing.T) {
	other := usualWorker("b")
	other.Service = "other"
	s := newSite(t, 1, usualWorker("a"), other)
	s.report("a")
	s.report("b")
	full := step(16)
	s.cell.Add(s.record(1, full), true)
	for _, start := range s.plan() {
		s.confirm(start)
	}
	for n := range 6 {
		waiting := advised(s.record(10+n, step(4)), 500*time.Millisecond)
		waiting.Priority = 1
		s.cell.Add(waiting, true)
	}
	free := advised(s.record(20, step(4)), 500*time.Millisecond)
	free.Priority, free.Service = 2, "other"
	s.cell.Add(free, true)
	s.slots = AdviceSlots{Any: 4}
	s.plan()
	asked := map[string]bool{}
	for _, q := range s.adviceOrders() {
		asked[q.Stage.Job] = true
	}
	if !asked[free.ID] {
		t.Errorf("no slot for the stage with free capacity: requests %v", asked)
	}
	if len(asked) != 3 {
		t.Errorf("%d requests, want 1 for the stage with free capacity and 2 in half of the 4 slots for others", len(asked))
	}
	s.slots = AdviceSlots{Any: 1}
	s.plan()
	if again := s.adviceOrders(); len(again) != 0 {
		t.Errorf("more requests about full workers while these occupy 2 of 4 slots: %v", again)
	}
}
