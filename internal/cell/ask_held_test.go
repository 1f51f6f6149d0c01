package cell

import (
	"testing"
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// fakeAdviser answers each request after its estimated duration, with tickets for all workers.
type fakeAdviser struct {
	site     *site
	pending  []AdviceOrder
	due      []time.Time
	requests int
}

// answerDue accepts the requests of the last planning pass and answers those that are due.
func (a *fakeAdviser) answerDue() {
	for _, q := range a.site.adviceOrders() {
		a.requests++
		a.pending = append(a.pending, q)
		a.due = append(a.due, a.site.now.Add(q.Cost.Duration(len(q.Workers))))
	}
	for len(a.pending) > 0 && !a.site.now.Before(a.due[0]) {
		var tickets []advice.Ticket
		for _, id := range a.pending[0].Workers {
			tickets = append(tickets, advice.Ticket{Worker: id, Text: "ticket-" + id})
		}
		a.site.cell.AdviceAnswered(a.pending[0].Stage, a.pending[0].Workers, tickets, nil, a.site.now)
		a.pending, a.due = a.pending[1:], a.due[1:]
	}
}

// Guards against a task that waits for the adviser only after it has waited for a lease: after a
// takeover with a lost worker, its tickets must be ready when the lease has expired.
func TestTicketsAreReadyWhenATaskIsReleased(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	longRunning := step(1)
	longRunning.LongRunning = true
	r := s.record(1, longRunning)
	r.Advice = &job.AdviceCost{PerCall: 560 * time.Millisecond, PerWorker: 8 * time.Millisecond, TicketTTL: 2 * time.Second}
	s.cell.Load(r, nil)
	began, limit := s.now, s.cell.earlierLeaseLimit()
	adviser := &fakeAdviser{site: s}
	for len(s.plan()) == 0 {
		if s.now.Sub(began) > 2*limit {
			t.Fatal("the task was never started")
		}
		adviser.answerDue()
		s.advance(10 * time.Millisecond)
		s.report("b")
	}
	took := s.now.Sub(began)
	if took < limit {
		t.Errorf("started after %v, while the lease of a may last until %v", took, limit)
	}
	if late := took - limit; late > 100*time.Millisecond {
		t.Errorf("started %v after the lease of a had expired", late)
	}
	if adviser.requests != 1 {
		t.Errorf("%d requests for advice, want 1", adviser.requests)
	}
}

// Guards against long-running tasks that wait for one another at the adviser only after a recovery: if
// there are fewer slots than stages, the tickets of the first ones must be there when it ends.
func TestTicketsOfSeveralHeldBackStagesAreReadyWithOneSlot(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	const stages = 2
	for number := range stages {
		r := s.record(number+1, longRunning(1, 0))
		r.Advice = &job.AdviceCost{PerCall: 560 * time.Millisecond, PerWorker: 8 * time.Millisecond, TicketTTL: 2 * time.Second}
		s.cell.Load(r, nil)
	}
	released := s.now.Add(s.cell.earlierLeaseLimit())
	adviser := &fakeAdviser{site: s}
	started := 0
	for s.now.Before(released.Add(100 * time.Millisecond)) {
		s.slots = AdviceSlots{Any: 1 - len(adviser.pending)}
		started += len(s.plan())
		adviser.answerDue()
		s.advance(10 * time.Millisecond)
		s.report("b")
	}
	if started != stages || adviser.requests != stages {
		t.Errorf("%d tasks started after %d requests when the recovery had ended, want %d and %d", started, adviser.requests, stages, stages)
	}
}

// Guards against a task that waits for the adviser only after a recovery that ends early, and against
// calls for tasks of which the owner knows no end: in a calm takeover their runs are found.
func TestTicketsOfAnEndedTaskAreReadyWhenARecoveryEndsEarly(t *testing.T) {
	const heldFor = time.Second
	for name, test := range map[string]struct {
		ended    bool
		requests int
	}{"ended": {true, 1}, "not reported": {false, 0}} {
		s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
		r := s.record(1, longRunning(1, 0))
		r.Advice = &job.AdviceCost{PerCall: 560 * time.Millisecond, PerWorker: 8 * time.Millisecond, TicketTTL: 2 * time.Second}
		s.cell.Load(r, nil)
		if test.ended {
			s.end("b", r.ID+".0.0.0", 1, runner.Failed)
		}
		adviser := &fakeAdviser{site: s}
		for end := s.now.Add(heldFor); s.now.Before(end); s.advance(10 * time.Millisecond) {
			s.report("b")
			if len(s.plan()) > 0 {
				t.Fatalf("%s: started although a may run the task", name)
			}
			adviser.answerDue()
		}
		if adviser.requests != test.requests {
			t.Errorf("%s: %d requests for advice while held back, want %d", name, adviser.requests, test.requests)
		}
		s.report("a")
		if starts := s.plan(); test.ended && len(starts) == 0 {
			t.Errorf("%s: not started when the recovery ended", name)
		}
	}
}

// timeToStart advances the time, with worker a unresponsive, until the next start and returns how
// long that took.
func (a *fakeAdviser) timeToStart() time.Duration {
	s := a.site
	began := s.now
	for len(s.plan()) == 0 {
		if s.now.Sub(began) > 20*time.Second {
			s.t.Fatal("the task was never started")
		}
		a.answerDue()
		s.advance(10 * time.Millisecond)
		s.cell.NextPoll("a", s.now)
		s.cell.PollFailed("a", runner.ErrNoAnswer, s.now)
		s.report("b")
	}
	return s.now.Sub(began)
}

// startLongRunningOnA starts the long-running task of a job that needs advice on worker a, the only
// one that reports.
func (s *site) startLongRunningOnA() (*fakeAdviser, *job.Record) {
	r := s.record(1, longRunning(1, 0))
	r.Advice = &job.AdviceCost{PerCall: 560 * time.Millisecond, PerWorker: 8 * time.Millisecond, TicketTTL: 2 * time.Second}
	adviser := &fakeAdviser{site: s}
	s.report("a")
	s.cell.Add(r, true)
	for len(s.cell.workers["a"].attempts) == 0 {
		for _, o := range s.plan() {
			s.confirm(o)
		}
		adviser.answerDue()
		s.advance(10 * time.Millisecond)
		s.report("a")
	}
	return adviser, r
}

// Guards against a long-running task of a crashed worker that waits for the adviser only after it
// has waited for the worker's lease to expire.
func TestTicketsAreReadyWhenTheLeaseOfAnUnresponsiveWorkerExpires(t *testing.T) {
	const slack = 150 * time.Millisecond
	for name, takenOver := range map[string]bool{"same owner": false, "next owner": true} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
			adviser, r := s.startLongRunningOnA()
			over := s.cell.workers["a"].leaseOverAt()
			if takenOver {
				s.advanceUnresponsive("a", time.Second, "b")
				s.takeOver(r, "a", "b")
				over = s.now.Add(s.cell.earlierLeaseLimit())
			}
			adviser.requests = 0
			limit := over.Sub(s.now)
			took := adviser.timeToStart()
			if took < limit {
				t.Errorf("started after %v, while the lease of a may last for %v", took, limit)
			}
			if late := took - limit; late > slack {
				t.Errorf("started %v after the lease of a had expired", late)
			}
			if adviser.requests != 1 {
				t.Errorf("%d requests for advice, want 1", adviser.requests)
			}
		})
	}
}

// Guards against requests for tickets that cannot be used yet: the task is in backoff because
// workers were lost under it.
func TestNoTicketsAreRequestedDuringABackoff(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	adviser, r := s.startLongRunningOnA()
	crashes := &s.cell.jobs[r.ID].stages[0].tasks[0].crashes
	crashes.unresponsive = []uint64{90, 91, 92}
	crashes.lostAt = s.now
	adviser.requests = 0
	for end := s.cell.workers["a"].leaseOverAt(); s.now.Before(end); s.advance(10 * time.Millisecond) {
		s.cell.PollFailed("a", runner.ErrNoAnswer, s.now)
		s.report("b")
		s.plan()
		adviser.answerDue()
	}
	if adviser.requests > 0 {
		t.Errorf("%d requests for advice, want none", adviser.requests)
	}
}

// Guards against a long-running task of a crashed worker that gets advice only when other work
// leaves a slot of the adviser free.
func TestLongRunningTaskOfAnUnresponsiveWorkerIsAskedAboutFirst(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	s.report("a")
	r := advised(s.record(1, longRunning(1, 0)), 560*time.Millisecond)
	r.Priority = 1
	s.cell.Add(r, true)
	s.plan()
	s.advise("a")
	for _, o := range s.plan() {
		s.confirm(o)
	}
	for over := s.cell.workers["a"].leaseOverAt().Add(-300 * time.Millisecond); s.now.Before(over); s.advance(100 * time.Millisecond) {
		s.cell.PollFailed("a", runner.ErrNoAnswer, s.now)
		s.report("b")
	}
	other := advised(s.record(2, step(1)), 560*time.Millisecond)
	s.cell.Add(other, true)
	s.slots = AdviceSlots{Any: 1}
	s.plan()
	if asked := s.adviceOrders(); len(asked) != 1 || asked[0].Stage.Job != r.ID {
		t.Errorf("requests for advice %v, want one for the long-running task of a", asked)
	}
}
