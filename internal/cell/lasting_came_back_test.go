package cell

import (
	"fmt"
	"testing"
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/job"
	"gentianstand/internal/roster"
)

// Failure: a lasting task does not run beside a worker with room for it that came back, as the
// adviser is only asked again about full workers, of which it has allowed many.
func TestLongRunningTaskAsksAboutAReturnedWorkerBesideManyFullOnes(t *testing.T) {
	const many = 200
	var workers []roster.Worker
	for n := range many {
		workers = append(workers, usualWorker(fmt.Sprintf("w%03d", n)))
	}
	s := newReportedSite(t, workers...)
	full := wide(many)
	full.LongRunning = true
	before := s.record(2, full)
	s.cell.Add(before, true)
	for _, o := range s.plan() {
		s.confirm(o)
	}
	s.commit()
	r := s.longRunningRecord(1, 4000)
	r.Advice = &job.AdviceCost{PerCall: 560 * time.Millisecond, PerWorker: 8 * time.Millisecond, TicketTTL: 2 * time.Second}
	s.cell.Add(r, true)
	hear := func() {
		for _, w := range workers {
			s.report(w.ID)
		}
	}
	if s.startsWhileAsked(30, hear) {
		t.Fatal("started on a full worker")
	}
	back := usualWorker("back")
	workers = append(workers, back)
	s.cell.SetRoster(workers, s.now)
	s.commit()
	if !s.startsWhileAsked(30, hear) {
		t.Errorf("not started after 30 questions beside a worker that came back")
	}
}

// startsWhileAsked answers some questions to the adviser, each as late as it takes, and
// reports whether something was started. The adviser allows all workers.
func (s *site) startsWhileAsked(questions int, hear func()) bool {
	s.t.Helper()
	for range questions {
		hear()
		if len(s.plan()) > 0 {
			return true
		}
		for _, o := range s.orders {
			if ask, ok := o.(AdviceOrder); ok {
				s.advance(ask.Cost.Duration(len(ask.Workers)))
				var tickets []advice.Ticket
				for _, id := range ask.Workers {
					tickets = append(tickets, advice.Ticket{Worker: id, Text: "ticket-" + id})
				}
				s.cell.AdviceAnswered(ask.Stage, ask.Workers, tickets, nil, s.now)
			}
		}
		s.advance(watchPeriod)
	}
	return false
}
