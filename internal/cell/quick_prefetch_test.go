package cell

import (
	"testing"
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/job"
)

// Guards against long-running tasks without free capacity that keep quick calls from their instances.
func TestLongRunningTaskWithoutFreeCapacityAsksAtNoInstanceForQuickCalls(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.cell.settings.PreviousOwnerStopped = true
	s.report("a")
	s.commit()
	full := step(1)
	full.Need.MilliCPU, full.Estimate = 16000, time.Hour
	s.cell.Add(s.record(1, full), true)
	for _, o := range s.plan() {
		s.confirm(o)
	}
	r := s.record(2, longRunning(1, 0))
	r.Queue, r.Advice = "watch", &job.AdviceCost{PerCall: 560 * time.Millisecond, PerWorker: 8 * time.Millisecond, TicketTTL: 2 * time.Second}
	s.cell.Add(r, true)
	calls, busy := 0, time.Duration(0)
	began := s.now
	for s.now.Sub(began) < 60*time.Second {
		s.advance(50 * time.Millisecond)
		s.report("a")
		// All other slots are in use.
		s.slots = AdviceSlots{Quick: 2, IdleQuick: 1}
		s.plan()
		for _, ask := range s.adviceOrders() {
			if ask.MayUseQuick {
				calls++
				busy += ask.Cost.Duration(len(ask.Workers))
			}
			s.advance(ask.Cost.Duration(len(ask.Workers)))
			s.cell.AdviceAnswered(ask.Stage, ask.Workers, []advice.Ticket{{Worker: "a", Text: "t"}}, nil, s.now)
		}
	}
	if calls > 0 {
		t.Errorf("%d slow calls about a full worker at an instance for quick calls in 60 s, %v in all", calls, busy)
	}
}
