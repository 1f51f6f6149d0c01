package cell

import (
	"fmt"
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/resource"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
)

// Guards against tasks that are never restarted after their worker is gone permanently.
func TestLeaseOfAnUnresponsiveWorkerExpires(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	s.report("a")
	r := s.record(1, step(1))
	s.cell.Add(r, true)
	task := r.ID + ".0.0.0"
	first := s.plan()[task]
	s.confirm(first)
	s.report("a")
	lost := s.now
	for s.now.Sub(lost) < 3400*time.Millisecond {
		s.advance(200 * time.Millisecond)
		s.cell.NextPoll("a", s.now)
		s.cell.PollFailed("a", fmt.Errorf("%w: timeout", runner.ErrNoAnswer), s.now)
		s.report("b")
		if again, ok := s.plan()[task]; ok {
			t.Fatalf("run %d was started %v after the last report, before the lease expired", again.Start.Run, s.now.Sub(lost))
		}
	}
	// The first poll without an answer, after 0.2 s, may still have extended the lease by 3.5 s on
	// a clock that is 2% slow: it must have expired after 3.83 s.
	s.advance(500 * time.Millisecond)
	s.report("b")
	again, ok := s.plan()[task]
	if !ok {
		t.Fatal("the task was not started again after the lease must have expired")
	}
	if again.Start.Run <= first.Start.Run || again.Worker.ID != "b" {
		t.Errorf("started as run %d on %s after run %d on a", again.Start.Run, again.Worker.ID, first.Start.Run)
	}
}

// Guards against a lease that expires on a sound worker because the poll after one without an answer takes
// another connection that is silent, and against new connections to a worker that refuses polls.
func TestPollAfterOneWithoutAnAnswerReconnects(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	for _, test := range []struct {
		err  error
		want bool
	}{
		{fmt.Errorf("%w: timeout", runner.ErrNoAnswer), true},
		{&runner.Refusal{Reason: runner.Unhealthy}, false},
	} {
		s.cell.PollFailed("a", test.err, s.now)
		if _, poll, _ := s.cell.NextPoll("a", s.now); poll.Reconnect != test.want {
			t.Errorf("%v: reconnect %v, want %v", test.err, poll.Reconnect, test.want)
		}
	}
	s.cell.PollFailed("a", runner.ErrNoAnswer, s.now)
	s.report("a")
	if _, poll, _ := s.cell.NextPoll("a", s.now); poll.Reconnect {
		t.Error("the poll after a report asks for a new connection")
	}
}

// Guards against a task that runs twice at once: a start without an answer must be revoked before
// the task is started again.
func TestUnansweredStartIsRevokedBeforeTheNext(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	s.report("a")
	s.report("b")
	r := s.record(1, step(1))
	s.cell.Add(r, true)
	task := r.ID + ".0.0.0"
	first := s.plan()[task]
	s.cell.StartAnswered(first, runner.Answer{}, runner.ErrNoAnswer, s.now)
	var stop StopOrder
	if len(s.plan()) != 0 {
		t.Fatal("the task was started again before the first start was revoked")
	}
	for _, o := range s.orders {
		stop = o.(StopOrder)
	}
	if stop.Stop.Run != first.Start.Run || stop.Worker.ID != first.Worker.ID {
		t.Fatalf("the first start was not revoked: %+v", stop)
	}
	s.report(first.Worker.ID)
	if len(s.plan()) != 0 {
		t.Fatal("the task was started again after a report without the run, although the start may still arrive")
	}
	s.cell.StopAnswered(stop, runner.Answer{}, nil, s.now)
	s.advance(time.Millisecond)
	s.report(first.Worker.ID)
	if _, ok := s.plan()[task]; !ok {
		t.Error("the task was not started again after the first start was revoked")
	}
}

// Guards against exceeding the capacity of a worker while starts on it are unconfirmed.
func TestUnsettledStartsCountAgainstCapacity(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	large := step(1)
	large.Need = resource.Amount{MilliCPU: 10000, MemoryMiB: 100}
	s.cell.Add(s.record(1, large), true)
	for _, o := range s.plan() {
		s.cell.StartAnswered(o, runner.Answer{}, runner.ErrNoAnswer, s.now)
	}
	s.cell.Add(s.record(2, large), true)
	s.report("a")
	if starts := s.plan(); len(starts) != 0 {
		t.Errorf("started while the capacity is taken by an unconfirmed start: %v", starts)
	}
}

// Guards against a task that runs again after its success because owner and worker were lost
// together: an end is acknowledged only after it is stored.
func TestEndsAreAcknowledgedAfterTheyAreStored(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	r := s.record(1, step(1))
	s.cell.Add(r, true)
	o := s.plan()[r.ID+".0.0.0"]
	s.confirm(o)
	s.finish(o, runner.Done)
	s.report("a")
	if _, poll, _ := s.cell.NextPoll("a", s.now); poll.Acknowledged != 0 {
		t.Fatalf("end %d was acknowledged before it was stored", poll.Acknowledged)
	}
	if state, _ := s.cell.State(r.ID); state != job.Running {
		t.Fatalf("state %q was shown before it was stored", state)
	}
	commit := s.cell.NextCommit(10)
	s.cell.CommitFailed(commit)
	if _, poll, _ := s.cell.NextPoll("a", s.now); poll.Acknowledged != 0 {
		t.Fatal("the end was acknowledged although the commit failed")
	}
	s.commit()
	if _, poll, _ := s.cell.NextPoll("a", s.now); poll.Acknowledged != 1 {
		t.Errorf("acknowledged %d after the commit, want 1", poll.Acknowledged)
	}
	if state, _ := s.cell.State(r.ID); state != job.Completed {
		t.Errorf("state is %q after the commit, want completed", state)
	}
}

// Guards against tasks of a crashed worker that wait for its lease to expire although a new process
// has replaced it.
func TestReplacedWorkerLosesItsRunsAtOnce(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	s.report("a")
	r := s.record(1, step(1))
	s.cell.Add(r, true)
	s.confirm(s.plan()[r.ID+".0.0.0"])
	s.report("a")
	s.report("b")
	s.cell.PollFailed("a", runner.ErrIncarnationGone, s.now)
	if o, ok := s.plan()[r.ID+".0.0.0"]; !ok || o.Worker.ID != "b" {
		t.Error("the task was not started at once on the other worker")
	}
}

// Guards against a task that runs twice after a takeover because the previous owner extended the
// lease.
func TestLeaseOfThePreviousOwnerCounts(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	r := s.record(1, step(1))
	s.cell.Load(r, nil)
	task := r.ID + ".0.0.0"
	s.runs["a"] = []runner.RunState{{Task: task, Run: 1, Percent: 10}}
	s.report("a")
	found := s.now
	s.report("b")
	for s.now.Sub(found) < 3400*time.Millisecond {
		s.advance(200 * time.Millisecond)
		s.report("b")
		if again, ok := s.plan()[task]; ok {
			t.Fatalf("run %d was started after %v, before the previous owner's lease expired", again.Start.Run, s.now.Sub(found))
		}
	}
	s.advance(600 * time.Millisecond)
	s.report("b")
	if _, ok := s.plan()[task]; !ok {
		t.Error("the task was not started after that lease must have expired")
	}
}

// Guards against a takeover after which tasks of older jobs wait 4 s for a worker that has left.
func TestWorkerThatLeftWithoutRunsIsForgottenAtOnce(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	s.report("a")
	s.report("b")
	s.cell.UpdateRoster(roster.Change{Removed: []string{"a"}}, s.now)
	s.advance(watchPeriod)
	s.plan()
	if s.cell.workers["a"] == nil {
		t.Fatal("a worker that answers was removed")
	}
	s.cell.PollFailed("a", runner.ErrNoAnswer, s.now)
	s.advance(watchPeriod)
	s.plan()
	if s.cell.workers["a"] != nil {
		t.Error("the worker that left was not removed")
	}
	commit := s.cell.NextCommit(10)
	if len(commit.Chunks) != 1 || commit.Chunks[0].Number != chunkOf("a") {
		t.Errorf("chunks to store: %+v", commit.Chunks)
	}
}

// Guards against a task that is started again after its success was acknowledged: a new owner must
// acknowledge ends only when no worker accepts orders of the previous one any more.
func TestEndsAreAcknowledgedWhenThePreviousOwnerIsFenced(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	r := s.record(1, step(1))
	s.cell.Load(r, nil)
	s.end("a", r.ID+".0.0.0", 1, runner.Done)
	s.report("a")
	s.plan()
	s.commit()
	if _, poll, _ := s.cell.NextPoll("a", s.now); poll.Acknowledged != 0 {
		t.Errorf("end %d is acknowledged before b has reported", poll.Acknowledged)
	}
	s.report("b")
	s.plan()
	s.commit()
	if _, poll, _ := s.cell.NextPoll("a", s.now); poll.Acknowledged != 1 {
		t.Errorf("end %d is acknowledged after all workers have reported, want 1", poll.Acknowledged)
	}
}
