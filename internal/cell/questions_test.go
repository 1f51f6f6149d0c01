package cell

import (
	"testing"
	"time"
)

// Failure: work stands still beside workers that are four fifths free.
func TestQuestionsAboutFullWorkersLeaveSlotsToOthers(t *testing.T) {
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
	for _, q := range s.questions() {
		asked[q.Stage.Job] = true
	}
	if !asked[free.ID] {
		t.Errorf("the stage with room has no lane: %v", asked)
	}
	if len(asked) != 3 {
		t.Errorf("%d questions, want one about room and half of the four lanes for others", len(asked))
	}
	s.slots = AdviceSlots{Any: 1}
	s.plan()
	if again := s.questions(); len(again) != 0 {
		t.Errorf("more questions about full workers while two of four lanes have them: %v", again)
	}
}
