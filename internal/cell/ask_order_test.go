package cell

import (
	"testing"
	"time"

	"gentianstand/internal/resource"
)

// askedTogether has stages request advice in one planning pass. It returns how many different
// workers they ask about in all, and the number of requests.
func askedTogether(s *site, stages int) (workers, questions int) {
	all := manyWorkers(24)
	for _, w := range all {
		s.report(w.ID)
	}
	for n := range stages {
		s.cell.Add(advised(s.record(n+1, step(2)), 30*time.Millisecond), true)
	}
	s.slots = AdviceSlots{Quick: stages}
	s.plan()
	seen := map[string]bool{}
	for _, q := range s.adviceOrders() {
		questions++
		for _, id := range q.Workers {
			seen[id] = true
		}
	}
	return len(seen), questions
}

// Guards against stages that request advice several times each while workers are idle, as after a
// restart of all instances: stages that ask in the same pass must ask about different workers.
func TestStagesThatAskTogetherSpreadOverTheWorkers(t *testing.T) {
	s := newSite(t, 1, manyWorkers(24)...)
	if workers, questions := askedTogether(s, 4); questions != 4 || workers < 2*minAskedWorkers {
		t.Errorf("%d requests about %d workers in all, want 4 about %d at least", questions, workers, 2*minAskedWorkers)
	}
}

// Guards against a stage of many tasks that asks first about workers that are nearly full.
func TestWorkersWithMoreFreeCapacityAreAskedAboutFirst(t *testing.T) {
	workers := manyWorkers(24)
	for i := range workers {
		if i%2 == 1 {
			workers[i].Capacity = resource.Amount{MilliCPU: 1000, MemoryMiB: 32768}
		}
	}
	s := newSite(t, 1, workers...)
	for _, w := range workers {
		s.report(w.ID)
	}
	s.cell.Add(advised(s.record(1, step(4)), 30*time.Millisecond), true)
	s.slots = AdviceSlots{Quick: 1}
	s.plan()
	for _, id := range s.adviceOrders()[0].Workers[:minAskedWorkers] {
		if s.cell.workers[id].Capacity.MilliCPU < 4000 {
			t.Errorf("asked about worker %s, which has capacity for one task only, among the first", id)
		}
	}
}
