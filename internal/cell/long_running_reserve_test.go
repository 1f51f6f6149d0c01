package cell

import "testing"

// Guards against a long-running task that stays down as long as its workers are nearly full,
// although it would fit into the urgent reserve.
func TestUrgentReserveKeepsNoLongRunningTaskDown(t *testing.T) {
	s := newReportedSite(t, usualWorker("a"))
	start := s.startOne(s.longRunningRecord(1, 400))
	urgent := step(1)
	urgent.Need.MilliCPU, urgent.LongRunning = 15200, true
	s.startOne(s.record(2, urgent))
	s.failAndCheckDowntime(start, nil, "a")
}

// Guards against a new long-running job that is not started although it would fit into the urgent
// reserve.
func TestUrgentReserveKeepsNoNewLongRunningTaskDown(t *testing.T) {
	s := newReportedSite(t, usualWorker("a"))
	urgent := step(1)
	urgent.Need.MilliCPU = 15200
	s.startOne(s.record(1, urgent))
	r := s.longRunningRecord(2, 400)
	s.cell.Add(r, true)
	if len(s.plan()) != 1 {
		t.Error("not started although there is free capacity")
	}
}

// Guards against a long-running task that stays down because the workers of another service are
// full.
func TestReserveOfOtherServicesKeepsNoLongRunningTaskDown(t *testing.T) {
	other := usualWorker("b")
	other.Service, other.Capacity.MilliCPU = "studio", 160000
	s := newReportedSite(t, usualWorker("a"), other)
	start := s.startOne(s.longRunningRecord(1, 2000))
	full := step(1)
	full.Need.MilliCPU = 160000
	elsewhere := s.record(2, full)
	elsewhere.Service = "studio"
	s.startOne(elsewhere)
	mine := step(1)
	mine.Need.MilliCPU = 8000
	s.startOne(s.record(3, mine))
	s.failAndCheckDowntime(start, nil, "a", "b")
}

// The processors of the urgent reserve must not be used by tasks that end.
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
		t.Errorf("started within the urgent reserve: %v", starts)
	}
}
