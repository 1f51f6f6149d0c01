package cell

import (
	"testing"
	"time"
)

// Failure: a lasting task stayed away while its worker was kept for a large task, time and
// again, although there was room beside what ran.
func TestReservationsKeepNoLongRunningTaskDown(t *testing.T) {
	s := newReportedSite(t, usualWorker("a"))
	inTheWay := s.longRunningRecord(1, 6000)
	s.startOne(inTheWay)
	lasts := s.startOne(s.longRunningRecord(2, 2000))
	large := transcode()
	large.Estimate = 30 * time.Second
	waits := s.record(3, large)
	waits.Priority = 1
	s.cell.Add(waits, true)
	s.plan()
	if s.cell.workers["a"].reserved == nil {
		t.Fatal("the worker is not reserved for the large task")
	}
	s.failAndCheckDowntime(lasts, nil, "a")
}
