package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
)

// stopsUnansweredSite is a site in which worker a answers polls, but no stop.
type stopsUnansweredSite struct {
	*site
	task string
	// leaseEnd is the latest lease end that a was sent, on its clock.
	leaseEnd time.Duration
	// stops holds the unanswered stops.
	stops []StopOrder
}

// newStopsUnansweredSite starts a long-running task on worker a, which does not answer the start.
func newStopsUnansweredSite(t *testing.T, others ...job.Step) *stopsUnansweredSite {
	s := &stopsUnansweredSite{site: newSite(t, 1, usualWorker("a"))}
	s.report("a")
	for n, other := range others {
		s.cell.Add(s.record(n+2, other), true)
		for _, o := range s.plan() {
			s.confirm(o)
		}
	}
	r := s.record(1, longRunning(1, 0))
	s.task = r.ID + ".0.0.0"
	s.cell.Add(r, true)
	start := s.plan()[s.task]
	s.leaseEnd = start.Start.LeaseUntil
	s.cell.SetRoster([]roster.Worker{usualWorker("a"), usualWorker("b")}, s.now)
	s.commit()
	s.report("b")
	s.cell.StartAnswered(start, runner.Answer{}, runner.ErrNoAnswer, s.now)
	return s
}

// round polls both workers, answers no stop of a, and returns the starts.
func (s *stopsUnansweredSite) round() map[string]StartOrder {
	s.advance(watchPeriod)
	_, poll, _ := s.cell.NextPoll("a", s.now)
	if poll.LeaseUntil != nil {
		s.leaseEnd = max(s.leaseEnd, *poll.LeaseUntil)
	}
	s.report("a")
	s.report("b")
	starts := s.plan()
	for _, o := range s.orders {
		if stop, ok := o.(StopOrder); ok {
			s.stops = append(s.stops, stop)
			s.cell.StopAnswered(stop, runner.Answer{}, runner.ErrNoAnswer, s.now)
		}
	}
	return starts
}

func (s *stopsUnansweredSite) clockOfA() time.Duration { return s.now.Sub(siteStart) + time.Hour }

// Guards against a second run: a start that a silent worker did not answer may arrive after the
// worker's lease has expired and before it is extended again.
func TestLeaseOfAReturnedWorkerIsNotExtendedBeforeItsStartsAreRevoked(t *testing.T) {
	s := newStopsUnansweredSite(t)
	s.advanceUnresponsive("a", 4*time.Second, "b")
	s.leaseEnd = 0
	for range 50 {
		s.round()
	}
	if s.leaseEnd != 0 {
		t.Fatal("the lease of a was extended although a late start may arrive")
	}
	s.cell.StopAnswered(s.stops[len(s.stops)-1], runner.Answer{}, nil, s.now)
	if s.round(); s.leaseEnd == 0 {
		t.Error("the lease of a is not extended although the start is revoked")
	}
}
