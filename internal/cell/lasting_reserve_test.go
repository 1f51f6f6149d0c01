package cell

import "testing"

// Failure: a lasting task stayed away as long as its workers were nearly full, although
// they had room for it.
func TestTheUrgentReserveKeepsNoLastingTaskAway(t *testing.T) {
	s := newHeardSite(t, usualWorker("a"))
	lasts := s.startedOne(s.lastingRecord(1, 400))
	urgent := step(1)
	urgent.Need.MilliCPU, urgent.LongRunning = 15200, true
	s.startedOne(s.record(2, urgent))
	s.failAndAwait(lasts, nil, "a")
}

// Failure: a new job that lasts did not begin, for the same reason.
func TestTheUrgentReserveKeepsNoNewLastingTaskAway(t *testing.T) {
	s := newHeardSite(t, usualWorker("a"))
	urgent := step(1)
	urgent.Need.MilliCPU = 15200
	s.startedOne(s.record(1, urgent))
	r := s.lastingRecord(2, 400)
	s.cell.Add(r, true)
	if len(s.plan()) != 1 {
		t.Error("not started although there is room")
	}
}

// Failure: a lasting task stayed away because the workers of another service were full.
func TestTheReserveOfOtherServicesKeepsNoLastingTaskAway(t *testing.T) {
	other := usualWorker("b")
	other.Service, other.Capacity.MilliCPU = "studio", 160000
	s := newHeardSite(t, usualWorker("a"), other)
	lasts := s.startedOne(s.lastingRecord(1, 2000))
	full := step(1)
	full.Need.MilliCPU = 160000
	elsewhere := s.record(2, full)
	elsewhere.Service = "studio"
	s.startedOne(elsewhere)
	mine := step(1)
	mine.Need.MilliCPU = 8000
	s.startedOne(s.record(3, mine))
	s.failAndAwait(lasts, nil, "a", "b")
}

// Failure: work that ends took the processors that are kept for the most urgent queue.
func TestTheUrgentReserveIsKeptFromWorkThatEnds(t *testing.T) {
	s := newHeardSite(t, usualWorker("a"))
	urgent := step(1)
	urgent.Need.MilliCPU = 15200
	s.startedOne(s.record(1, urgent))
	ends := step(1)
	ends.Need.MilliCPU = 400
	r := s.record(2, ends)
	r.Priority = 1
	s.cell.Add(r, true)
	if starts := s.plan(); len(starts) > 0 {
		t.Errorf("started within the reserve: %v", starts)
	}
}
