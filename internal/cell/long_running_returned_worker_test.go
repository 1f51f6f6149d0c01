package cell

import (
	"fmt"
	"testing"
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/job"
	"gentianstand/internal/roster"
)

// Guards against a long-running task that stays down although a worker with free capacity has come
// back: the adviser allows many full workers, and is asked again about these only.
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
	reportAll := func() {
		for _, w := range workers {
			s.report(w.ID)
		}
	}
	if s.startsWhileAsked(30, reportAll) {
		t.Fatal("started on a full worker")
	}
	back := usualWorker("back")
	workers = append(workers, back)
	s.cell.SetRoster(workers, s.now)
	s.commit()
	if !s.startsWhileAsked(30, reportAll) {
		t.Errorf("not started after 30 requests for advice although a worker with free capacity came back")
	}
}

// startsWhileAsked answers a number of requests for advice, each after its estimated duration, and
// reports whether a task was started. The adviser allows all workers.
func (s *site) startsWhileAsked(questions int, reportAll func()) bool {
	s.t.Helper()
	for range questions {
		reportAll()
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
