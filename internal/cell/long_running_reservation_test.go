package cell

import (
	"testing"
	"time"
)

// Guards against a long-running task that stays down because its worker is repeatedly reserved for
// a large task, although the worker has free capacity.
func TestReservationsKeepNoLongRunningTaskDown(t *testing.T) {
	s := newReportedSite(t, usualWorker("a"))
	inTheWay := s.longRunningRecord(1, 6000)
	s.startOne(inTheWay)
	start := s.startOne(s.longRunningRecord(2, 2000))
	large := transcode()
	large.Estimate = 30 * time.Second
	waits := s.record(3, large)
	waits.Priority = 1
	s.cell.Add(waits, true)
	s.plan()
	if s.cell.workers["a"].reserved == nil {
		t.Fatal("the worker is not reserved for the large task")
	}
	s.failAndCheckDowntime(start, nil, "a")
}
