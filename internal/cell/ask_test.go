package cell

import (
	"errors"
	"testing"
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/job"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
)

// advised makes a job need tickets.
func advised(r *job.Record, perCall time.Duration) *job.Record {
	r.Advice = &job.AdviceCost{PerCall: perCall, TicketTTL: 2 * time.Second}
	return r
}

func (s *site) adviceOrders() []AdviceOrder {
	var asked []AdviceOrder
	for _, o := range s.orders {
		if q, ok := o.(AdviceOrder); ok {
			asked = append(asked, q)
		}
	}
	return asked
}

func manyWorkers(n int) []roster.Worker {
	var list []roster.Worker
	for i := range n {
		list = append(list, usualWorker(string(rune('a'+i))))
	}
	return list
}

// Guards against more requests for advice than the adviser has slots: after a fault nothing was
// placed any more although workers were free.
func TestAdviceIsAskedOnlyWhenASlotIsFree(t *testing.T) {
	s := newSite(t, 1, manyWorkers(4)...)
	for _, w := range manyWorkers(4) {
		s.report(w.ID)
	}
	for n := range 10 {
		r := advised(s.record(n, step(2)), time.Second)
		r.Priority = 2 - n%2
		s.cell.Add(r, true)
	}
	s.slots = AdviceSlots{Quick: 2, Any: 3}
	s.plan()
	asked := s.adviceOrders()
	if len(asked) != 3 {
		t.Fatalf("%d slow calls for 3 slots", len(asked))
	}
	for _, q := range asked {
		if s.cell.jobs[q.Stage.Job].record.Priority != 1 {
			t.Errorf("advice was requested for a less urgent stage first: %s", q.Stage)
		}
	}
	s.slots = AdviceSlots{Quick: 1}
	quick := advised(s.record(20, step(2)), 20*time.Millisecond)
	s.cell.Add(quick, true)
	s.plan()
	if asked := s.adviceOrders(); len(asked) != 1 || asked[0].Stage.Job != quick.ID {
		t.Errorf("with a slot for quick calls: requests %v, want one for the quick job", asked)
	}
}

// Load: all workers are full, and capacity becomes free on one of them every few milliseconds. A
// stage must keep tickets for full workers, renew them before they expire, and start as soon as
// there is free capacity.
func TestTicketsForFullWorkersAreKept(t *testing.T) {
	s := newSite(t, 1, manyWorkers(2)...)
	s.report("a")
	s.report("b")
	full := step(32)
	s.cell.Add(s.record(1, full), true)
	running := s.plan()
	if len(running) != 32 {
		t.Fatalf("%d tasks of 32 started", len(running))
	}
	waits := advised(s.record(2, step(1)), 100*time.Millisecond)
	s.cell.Add(waits, true)
	s.plan()
	if len(s.adviceOrders()) != 1 {
		t.Fatal("no advice was requested for a stage that waits for free capacity")
	}
	s.advise("a")
	s.plan()
	if len(s.adviceOrders()) != 0 {
		t.Error("advice was requested again while the ticket is valid")
	}
	s.advance(1700 * time.Millisecond)
	s.report("a")
	s.report("b")
	s.plan()
	if q := s.adviceOrders(); len(q) != 1 || q[0].Workers[0] != "a" {
		t.Fatalf("the ticket was not renewed before it expires: requests %v", q)
	}
	s.advise("a")
	for _, o := range running {
		if o.Worker.ID == "a" {
			s.end("a", o.Start.Task, o.Start.Run, runner.Done)
			break
		}
	}
	s.report("a")
	if o, ok := s.plan()[waits.ID+".0.0.0"]; !ok || o.Start.Ticket != "ticket-a" {
		t.Errorf("not started with its ticket when capacity became free: %+v", o)
	}
}

func TestAdviceThatFailedIsAskedAgainAfterAPause(t *testing.T) {
	s := newSite(t, 1, manyWorkers(2)...)
	s.report("a")
	s.report("b")
	s.cell.Add(advised(s.record(1, step(1)), 20*time.Millisecond), true)
	s.plan()
	q := s.adviceOrders()[0]
	s.cell.AdviceAnswered(q.Stage, q.Workers, nil, errors.New("busy"), s.now)
	s.plan()
	if len(s.adviceOrders()) != 0 {
		t.Error("advice was requested again at once")
	}
	s.advance(adviceRetryDelay)
	s.plan()
	if len(s.adviceOrders()) != 1 {
		t.Error("advice was not requested again after the pause")
	}
}

// Guards against repeating a start with a ticket that the worker has refused.
func TestRefusedTicketIsNotUsedAgain(t *testing.T) {
	s := newSite(t, 1, manyWorkers(1)...)
	s.report("a")
	r := advised(s.record(1, step(1)), 20*time.Millisecond)
	s.cell.Add(r, true)
	s.plan()
	s.advise("a")
	o := s.plan()[r.ID+".0.0.0"]
	s.cell.StartAnswered(o, runner.Answer{}, &runner.Refusal{Reason: runner.BadTicket}, s.now)
	if starts := s.plan(); len(starts) != 0 {
		t.Fatalf("started again with the refused ticket: %v", starts)
	}
	q := s.adviceOrders()
	if len(q) != 1 {
		t.Fatal("no new ticket was requested")
	}
	s.cell.AdviceAnswered(q[0].Stage, q[0].Workers, []advice.Ticket{{Worker: "a", Text: "new"}}, nil, s.now)
	if o := s.plan()[r.ID+".0.0.0"]; o.Start.Ticket != "new" {
		t.Errorf("started with ticket %q, want the new one", o.Start.Ticket)
	}
}

// A task's wait counts once, from the time at which it could have been started.
func TestWaitForTheFirstStart(t *testing.T) {
	var waited []time.Duration
	settings := Settings{Term: 1, Lease: 3500 * time.Millisecond, ObserveWait: func(_ int, d time.Duration) { waited = append(waited, d) }}
	s := newSiteWith(t, settings, usualWorker("a"))
	two := s.record(1, step(1), step(1))
	two.Steps[1].DependsOn = []int{0}
	s.cell.Add(two, true)
	s.plan()
	s.advance(300 * time.Millisecond)
	s.report("a")
	for _, o := range s.plan() {
		s.confirm(o)
		s.advance(time.Second)
		s.finish(o, runner.Failed)
		s.report("a")
	}
	for _, o := range s.plan() {
		s.confirm(o)
		s.advance(time.Second)
		s.finish(o, runner.Done)
		s.report("a")
	}
	for _, o := range s.plan() {
		s.advance(20 * time.Millisecond)
		s.confirm(o)
	}
	if len(waited) != 2 || waited[0] < 300*time.Millisecond || waited[0] > 400*time.Millisecond || waited[1] != 20*time.Millisecond {
		t.Errorf("waits %v, want about 300 ms for the first task and 20 ms for the second", waited)
	}
}
