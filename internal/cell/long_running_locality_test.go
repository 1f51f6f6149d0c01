package cell

import (
	"testing"
	"time"
)

// Guards against a long-running task that stays down until there is free capacity near its data
// although other workers have free capacity.
func TestLongRunningTaskDoesNotWaitForCapacityNearItsData(t *testing.T) {
	s := twoRacks(t)
	s.fill()
	r := s.longRunningRecord(2, 2000)
	r.Steps[0].DataRack, r.Steps[0].Estimate = "r1", time.Minute
	s.cell.Add(r, true)
	began := s.now
	for len(s.reportAndPlan("near", "far")) == 0 && s.now.Sub(began) < 20*time.Second {
		s.commit()
	}
	if down := s.now.Sub(began); down > maxDowntime {
		t.Errorf("the long-running task was down for %v", down)
	}
}
