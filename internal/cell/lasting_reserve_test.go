package cell

import "testing"

// Failure: a lasting task stayed away as long as its workers were nearly full, although
// they had room for it.
func TestUrgentReserveKeepsNoLongRunningTaskDown(t *testing.T) {
	s := newReportedSite(t, usualWorker("a"))
	lasts := s.startOne(s.longRunningRecord(1, 400))
	urgent := step(1)
	urgent.Need.MilliCPU, urgent.LongRunning = 15200, true
	s.startOne(s.record(2, urgent))
	s.failAndCheckDowntime(lasts, nil, "a")
}

// Failure: a new job that lasts did not begin, for the same reason.
func TestUrgentReserveKeepsNoNewLongRunningTaskDown(t *testing.T) {
	s := newReportedSite(t, usualWorker("a"))
	urgent := step(1)
	urgent.Need.MilliCPU = 15200
	s.startOne(s.record(1, urgent))
	r := s.longRunningRecord(2, 400)
	s.cell.Add(r, true)
	if len(s.plan()) != 1 {
		t.Error("not started although there is room")
	}
}

// Failure: a lasting task stayed away because the workers of another service were full.
func TestReserveOfOtherServicesKeepsNoLongRunningTaskDown(t *testing.T) {
	other := usualWorker("b")
	other.Service, other.Capacity.MilliCPU = "studio", 160000
	s := newReportedSite(t, usualWorker("a"), other)
	lasts := s.startOne(s.longRunningRecord(1, 2000))
	full := step(1)
	full.Need.MilliCPU = 160000
	elsewhere := s.record(2, full)
	elsewhere.Service = "studio"
	s.startOne(elsewhere)
	mine := step(1)
	mine.Need.MilliCPU = 8000
	s.startOne(s.record(3, mine))
	s.failAndCheckDowntime(lasts, nil, "a", "b")
}

// Failure: work that ends took the processors that are kept for the most urgent queue.
func TestTheUrgentReserveIsKeptFromWorkThatEnds(t *testing.T) {
	s := newReportedSite(t, usualWorker("a"))
	urgent := step(1)
	urgent.Need.MilliCPU = 15200
	s.startOne(s.record(1, urgent))
	ends := step(1)
	ends.Need.MilliCPU = 400
	r := s.record(2, ends)
	r.Priority = 1
	s.cell.Add(r, true)
	if starts := s.plan(); len(starts) > 0 {
		t.Errorf("started within the reserve: %v", starts)
	}
}
