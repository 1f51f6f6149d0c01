package cell

import "testing"

// Failure: a lasting task does not run beside parked workers with room for it, as more urgent
// work without any room is looked at first in each planning pass.
func TestParkedWorkersWakeForALongRunningTaskBehindImpossibleWork(t *testing.T) {
	s := idleSite(t, 6, 1)
	s.startAll()
	for range 100 {
		s.advance(watchPeriod)
		s.plan()
		s.commit()
		s.reportAll()
	}
	if s.cell.parkedCount == 0 {
		t.Fatal("no worker is parked")
	}
	for n := range maxUnparkingStages {
		impossible := step(1)
		impossible.RequiredLabel = "none"
		s.cell.Add(s.record(n+10, impossible), true)
	}
	lasting := wide(3)
	lasting.LongRunning = true
	r := s.record(1, lasting)
	r.Priority = 1
	s.cell.Add(r, true)
	got := 0
	for range 100 {
		s.advance(watchPeriod)
		for _, o := range s.plan() {
			s.confirm(o)
			got++
		}
		s.commit()
		s.reportAll()
	}
	if got != 3 {
		t.Errorf("%d of 3 lasting tasks started within 4 s beside %d parked workers", got, s.cell.parkedCount)
	}
}
