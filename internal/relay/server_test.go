package relay

import (
	"errors"
	"testing"
	"time"

	"gentianstand/internal/runner"
)

// An instance that is about to stop says so, and what is under way is finished.
func TestLeavingRelayFinishesItsCalls(t *testing.T) {
	s := newSite(t)
	l := s.link(t)
	if got := l.do(within(t), callTo(w1, startOf("a", 1))); got.err != nil {
		t.Fatal(got.err)
	}
	s.server.Leave()
	for end := time.Now().Add(20 * time.Second); l.usable() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if got := l.do(within(t), callTo(w1, startOf("b", 1))); !errors.Is(got.err, errNotSent) {
		t.Errorf("a call to a relay that leaves: %v", got.err)
	}
	late := s.link(t)
	if got := late.do(within(t), callTo(w1, startOf("c", 1))); !errors.Is(got.err, errNotSent) {
		t.Errorf("a link to a relay that leaves: %v", got.err)
	}
}

// Failure: orders of a relay go on after its instance has reported that it stopped.
func TestClosedRelayHasNothingUnderWay(t *testing.T) {
	s := newSite(t)
	l := s.link(t)
	done := s.hangingStart(t, l)
	s.server.Close()
	s.workers.mu.Lock()
	over := s.workers.over
	s.workers.mu.Unlock()
	if over != 1 {
		t.Errorf("%d of 1 starts are over", over)
	}
	if got := <-done; !errors.Is(got.err, runner.ErrNoAnswer) {
		t.Errorf("got %v", got.err)
	}
}
