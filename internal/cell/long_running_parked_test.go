package cell

import "testing"

// Guards against a long-running task that is not started although parked workers have capacity for
// it: each planning pass wakes workers first for more urgent work, which fits on no worker.
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
	longRunning := wide(3)
	longRunning.LongRunning = true
	r := s.record(1, longRunning)
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
		t.Errorf("%d of 3 long-running tasks were started within 4 s while %d workers are parked", got, s.cell.parkedCount)
	}
}
