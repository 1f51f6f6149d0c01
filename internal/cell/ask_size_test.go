package cell

import (
	"fmt"
	"testing"
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/job"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
)

// Guards against a long-running task that is down for many adviser calls in series, because each
// call asks about a few of many free workers of which the adviser allows one.
func TestLongRunningTaskIsDownForFewAdviserCalls(t *testing.T) {
	const maxCalls, limit = 3, 2200 * time.Millisecond
	var workers []roster.Worker
	for i := range 48 {
		workers = append(workers, usualWorker(fmt.Sprintf("w%02d", i)))
	}
	s := newReportedSite(t, workers...)
	s.watchJob()
	asked := map[string]bool{}
	calls, took := 0, time.Duration(0)
	for len(s.plan()) == 0 {
		queries := s.adviceOrders()
		if len(queries) != 1 {
			t.Fatalf("%d requests for advice after %d calls, want 1", len(queries), calls)
		}
		q := queries[0]
		calls++
		took += q.Cost.Duration(len(q.Workers))
		s.advance(q.Cost.Duration(len(q.Workers)))
		for _, w := range workers {
			s.report(w.ID)
		}
		var tickets []advice.Ticket
		for _, id := range q.Workers {
			asked[id] = true
			if len(asked) == len(workers) {
				tickets = append(tickets, advice.Ticket{Worker: id, Text: "ticket-" + id})
			}
		}
		s.cell.AdviceAnswered(q.Stage, q.Workers, tickets, nil, s.now)
	}
	if calls > maxCalls || took > limit {
		t.Errorf("started after %d adviser calls that took %v, want at most %d and %v", calls, took, maxCalls, limit)
	}
}

// watchJob submits a job with one long-running task whose queue has a slow adviser.
func (s *site) watchJob() *job.Record {
	r := s.record(1, longRunning(1, 0))
	r.Advice = &job.AdviceCost{PerCall: 560 * time.Millisecond, PerWorker: 8 * time.Millisecond, TicketTTL: 2 * time.Second}
	s.cell.Add(r, true)
	return r
}

// adviseFirst plans, answers the only request for advice with tickets for the first workers that it
// names, and returns the number of workers that it names.
func (s *site) adviseFirst(allowed int) int {
	s.t.Helper()
	s.plan()
	q := s.adviceOrders()
	if len(q) != 1 {
		s.t.Fatalf("%d requests for advice, want 1", len(q))
	}
	var tickets []advice.Ticket
	for _, id := range q[0].Workers[:allowed] {
		tickets = append(tickets, advice.Ticket{Worker: id, Text: "ticket-" + id})
	}
	s.cell.AdviceAnswered(q[0].Stage, q[0].Workers, tickets, nil, s.now)
	return len(q[0].Workers)
}

// Guards against calls that stay large after one has returned a ticket for a worker with free
// capacity.
func TestAdviserCallsAreSmallAgainAfterAUsableTicket(t *testing.T) {
	s := newReportedSite(t, manyWorkers(40)...)
	r := s.watchJob()
	sizes := []int{s.adviseFirst(0), s.adviseFirst(1)}
	first, ok := s.plan()[r.ID+".0.0.0"]
	if !ok {
		t.Fatal("the task was not started")
	}
	s.confirm(first)
	s.advance(3 * time.Second)
	s.finish(first, runner.Failed)
	for _, w := range manyWorkers(40) {
		s.report(w.ID)
	}
	sizes = append(sizes, s.adviseFirst(0))
	if sizes[0] != minAskedWorkers || sizes[1] != 2*minAskedWorkers || sizes[2] > minAskedWorkers {
		t.Errorf("calls about %v workers, want %d, twice as many, and at most as many as first", sizes, minAskedWorkers)
	}
}
