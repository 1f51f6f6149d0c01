package routing

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gentianstand/internal/fault"
	"gentianstand/internal/worker"
)

func oneWorker(slots int) *Router {
	r := NewRouter()
	r.SetWorker(WorkerInfo{ID: "w", Slots: slots, Services: []string{"s"}, Open: true}, time.Now())
	return r
}

func request(id string, rank int, timeout time.Duration) Request {
	return Request{ID: id, Rank: rank, Deadline: time.Now().Add(timeout)}
}

// acquire waits for a slot in the background and sends the request's id, with the error kind if
// it failed, to order.
func acquire(r *Router, order chan string, id string, rank int, timeout time.Duration) {
	go func() {
		g, err := r.Acquire(context.Background(), "s", request(id, rank, timeout), time.Now())
		if err != nil {
			order <- id + " " + string(fault.From(err).Kind)
			return
		}
		order <- id
		time.Sleep(10 * time.Millisecond)
		g.Done(Answered, time.Now())
	}()
	synctest.Wait()
}

// TestUrgentFirst checks that a freed slot goes to the most urgent waiter, and among equally
// urgent ones to the one that has waited longest.
func TestUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // waiters release their slots
		r := oneWorker(1)
		held, _ := r.Acquire(context.Background(), "s", request("held", 1, time.Minute), time.Now())
		order := make(chan string, 4)
		for _, w := range []struct {
			id   string
			rank int
		}{{"low", 2}, {"first", 1}, {"second", 1}, {"urgent", 0}} {
			acquire(r, order, w.id, w.rank, time.Minute)
		}
		held.Done(Answered, time.Now())
		for _, want := range []string{"urgent", "first", "second", "low"} {
			if got := <-order; got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		}
	})
}

// A request that cannot get a slot before its deadline must be refused without waiting.
func TestRequestWithoutChanceIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // waiters release their slots
		r := oneWorker(1)
		r.ObserveLatency("s", 10*time.Second)
		held, _ := r.Acquire(context.Background(), "s", request("held", 1, time.Minute), time.Now())
		started := time.Now()
		_, err := r.Acquire(context.Background(), "s", request("too-late", 1, time.Second), time.Now())
		f := fault.From(err)
		if f.Kind != fault.Overloaded || f.Answer().Outcome != fault.DidNotRun || f.Answer().RetryAfter < time.Second {
			t.Errorf("got %+v", f)
		}
		if waited := time.Since(started); waited > 0 {
			t.Errorf("refused after %s", waited)
		}
		held.Done(Answered, time.Now())
	})
}

// A full queue must refuse its least urgent waiter instead of a more urgent new request.
func TestFullQueueShedsLeastUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // waiters release their slots
		r := oneWorker(1)
		held, _ := r.Acquire(context.Background(), "s", request("held", 1, time.Hour), time.Now())
		order := make(chan string, minQueueLength+2)
		for i := range minQueueLength {
			acquire(r, order, fmt.Sprintf("low%d", i), 2, time.Hour)
		}
		acquire(r, order, "one-more", 2, time.Hour)
		if got := <-order; got != "one-more overloaded" {
			t.Errorf("a full queue refused %s", got)
		}
		acquire(r, order, "urgent", 0, time.Hour)
		if got := <-order; got != fmt.Sprintf("low%d overloaded", minQueueLength-1) {
			t.Errorf("for an urgent request %s was refused", got)
		}
		held.Done(Answered, time.Now())
		if got := <-order; got != "urgent" {
			t.Errorf("the slot went to %s", got)
		}
		for range minQueueLength - 1 {
			<-order
		}
	})
}

// TestDeadlineInQueue checks that a waiter is refused when its deadline passes and that the
// slot goes to the next waiter.
func TestDeadlineInQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // waiters release their slots
		r := oneWorker(1)
		held, _ := r.Acquire(context.Background(), "s", request("held", 1, time.Hour), time.Now())
		order := make(chan string, 2)
		acquire(r, order, "short", 1, time.Second)
		acquire(r, order, "long", 1, time.Hour)
		time.Sleep(2 * time.Second)
		if got := <-order; got != "short deadline_exceeded" {
			t.Errorf("got %s", got)
		}
		held.Done(Answered, time.Now())
		if got := <-order; got != "long" {
			t.Errorf("got %s", got)
		}
	})
}

// One failing worker of 3 must not attract all requests: it fails fast, so it always has free
// slots.
func TestFailingUpstreamIsEjected(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRouter()
	for _, id := range []string{"bad", "good1", "good2"} {
		r.SetWorker(WorkerInfo{ID: id, Slots: 8, Services: []string{"s"}, Open: true}, now)
	}
	failed := 0
	for i := range 300 {
		now = now.Add(10 * time.Millisecond)
		g := r.TryAcquire(context.Background(), "s", Request{ID: fmt.Sprint(i), Deadline: now.Add(time.Second)}, now)
		if g.Worker == "bad" {
			failed++
			g.Done(Failed, now)
			continue
		}
		g.Done(Answered, now.Add(5*time.Millisecond))
	}
	if failed > 6 {
		t.Errorf("%d of 300 requests went to the failing worker", failed)
	}
}

// TestRetryBudget checks that retries are at most a tenth of the requests plus a small burst,
// so that they cannot multiply an overload.
func TestRetryBudget(t *testing.T) {
	r := oneWorker(1000)
	retries := 0
	for i := range 1000 {
		g, err := r.Acquire(context.Background(), "s", request(fmt.Sprint(i), 1, time.Minute), time.Now())
		if err != nil {
			t.Fatal(err)
		}
		g.Done(Failed, time.Now())
		if r.MayRetry("s") {
			retries++
		}
	}
	if retries > 1000/10+retryBurst {
		t.Errorf("%d retries", retries)
	}
}

// TestUnansweredRequests checks that a revoked request ends with ErrNeverArrived, a finished
// one with ErrAnswerLost only after its answer had time to arrive, and that a running one
// continues.
func TestUnansweredRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	r := oneWorker(8)
	r.SetWorker(WorkerInfo{ID: "w", Slots: 8, Services: []string{"s"}, Open: true}, now)
	grants := map[string]*Grant{}
	for _, id := range []string{"revoked", "finished", "running"} {
		grants[id] = r.TryAcquire(context.Background(), "s", Request{ID: id, Deadline: now.Add(time.Minute)}, now)
	}
	for _, tick := range []time.Duration{2 * time.Second, 4 * time.Second} {
		r.Resolve("w", "revoked", worker.RequestRevoked, now.Add(tick))
		r.Resolve("w", "finished", worker.RequestFinished, now.Add(tick))
		r.Resolve("w", "running", worker.RequestRunning, now.Add(tick))
		if tick == 2*time.Second && context.Cause(grants["finished"].Context()) != nil {
			t.Error("the request was ended before its answer had time to arrive")
		}
	}
	if cause := context.Cause(grants["revoked"].Context()); cause != ErrNeverArrived {
		t.Errorf("revoked: %v", cause)
	}
	if cause := context.Cause(grants["finished"].Context()); cause != ErrAnswerLost {
		t.Errorf("finished: %v", cause)
	}
	if cause := context.Cause(grants["running"].Context()); cause != nil {
		t.Errorf("running: %v", cause)
	}
}

// A worker that refuses requests of an epoch must not get more of them while other workers are
// free.
func TestRefusingWorkerIsClosed(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRouter()
	for _, id := range []string{"taken", "own"} {
		r.SetWorker(WorkerInfo{ID: id, Epoch: 1, Slots: 4, Services: []string{"s"}, Open: true}, now)
	}
	r.CloseWorker("taken", 1)
	for i := range 4 {
		g := r.TryAcquire(context.Background(), "s", Request{ID: fmt.Sprint(i), Deadline: now.Add(time.Second)}, now)
		if g == nil || g.Worker != "own" {
			t.Fatalf("got %+v", g)
		}
	}
	r.SetWorker(WorkerInfo{ID: "taken", Epoch: 2, Slots: 4, Services: []string{"s"}, Open: true}, now)
	r.CloseWorker("taken", 1)
	if g := r.TryAcquire(context.Background(), "s", Request{ID: "again", Deadline: now.Add(time.Second)}, now); g == nil || g.Worker != "taken" {
		t.Errorf("after it was claimed again: %+v", g)
	}
}
