package cell

import (
	"testing"
	"time"
)

// Failure: a lasting task stayed away until there was room near its data, although workers
// elsewhere had room.
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
	if away := s.now.Sub(began); away > maxDowntime {
		t.Errorf("the lasting task was away for %v", away)
	}
}
