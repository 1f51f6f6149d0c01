package cell

import (
	"testing"
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/job"
)

// adviser answers each question after the time that it takes, with tickets for all workers.
type adviser struct {
	site    *site
	pending []AdviceOrder
	due     []time.Time
	asked   int
}

// serve takes the questions of the last plan and answers those that are due.
func (a *adviser) serve() {
	for _, q := range a.site.questions() {
		a.asked++
		a.pending = append(a.pending, q)
		a.due = append(a.due, a.site.now.Add(q.Cost.Duration(len(q.Workers))))
	}
	for len(a.pending) > 0 && !a.site.now.Before(a.due[0]) {
		var tickets []advice.Ticket
		for _, id := range a.pending[0].Workers {
			tickets = append(tickets, advice.Ticket{Worker: id, Text: "ticket-" + id})
		}
		a.site.cell.Advised(a.pending[0].Stage, a.pending[0].Workers, tickets, nil, a.site.now)
		a.pending, a.due = a.pending[1:], a.due[1:]
	}
}

// Failure: after a take-over beside a lost worker a task waits for its leases and then for
// the adviser, too.
func TestTicketsAreThereWhenATaskIsNotHeldBackAnyMore(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	lasting := step(1)
	lasting.LongRunning = true
	r := s.record(1, lasting)
	r.Advice = &job.AdviceCost{PerCall: 560 * time.Millisecond, PerWorker: 8 * time.Millisecond, Valid: 2 * time.Second}
	s.cell.Load(r, nil)
	began, limit := s.now, s.cell.unseenLimit()
	asks := &adviser{site: s}
	for len(s.plan()) == 0 {
		if s.now.Sub(began) > 2*limit {
			t.Fatal("never started")
		}
		asks.serve()
		s.pass(10 * time.Millisecond)
		s.report("b")
	}
	took := s.now.Sub(began)
	if took < limit {
		t.Errorf("started after %v, while the lease on a may last until %v", took, limit)
	}
	if late := took - limit; late > 100*time.Millisecond {
		t.Errorf("started %v after the lease on a was over", late)
	}
	if asks.asked != 1 {
		t.Errorf("asked %d times, want once", asks.asked)
	}
}
