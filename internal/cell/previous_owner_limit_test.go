package cell

import (
	"testing"
	"time"
)

// Guards against a task that runs twice because a previous owner extends leases for longer than
// usual, and against a wait that is longer than necessary.
func TestRecoveryWaitsForAsLongAsThePreviousOwnerMayAct(t *testing.T) {
	waited := func(limit, end time.Duration) time.Duration {
		s := newSite(t, 2, usualWorker("a"))
		s.cell.settings.PreviousOwnerLimit = limit
		s.cell.Load(s.record(1, step(1)), nil)
		s.cell.LoadWorkers([]KnownWorker{{ID: "lost", Address: "lost:1"}}, s.now)
		began := s.now
		if end > 0 {
			s.cell.PreviousOwnerStopsBy(began.Add(end))
			s.cell.PreviousOwnerStopsBy(began.Add(end + time.Second))
		}
		for s.now.Sub(began) < 10*time.Second {
			s.advance(10 * time.Millisecond)
			s.report("a")
			if len(s.plan()) > 0 {
				return s.now.Sub(began)
			}
		}
		t.Fatal("the task was never started")
		return 0
	}
	const round = 15 * time.Millisecond
	usual := waited(0, 0)
	for name, test := range map[string]struct{ limit, end, want time.Duration }{
		"longer limit":           {2 * supersededOwnerLimit, 0, usual + supersededOwnerLimit},
		"earlier end":            {2 * supersededOwnerLimit, supersededOwnerLimit, usual},
		"end after the limit":    {2 * supersededOwnerLimit, 3 * supersededOwnerLimit, usual + supersededOwnerLimit},
		"end of the usual limit": {0, time.Second, usual - supersededOwnerLimit + time.Second},
	} {
		if got := waited(test.limit, test.end); (got - test.want).Abs() > round {
			t.Errorf("%s: waited %v, want %v", name, got, test.want)
		}
	}
}
