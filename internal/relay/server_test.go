package relay

import (
	"errors"
	"testing"
	"time"

	"gentianstand/internal/runner"
)

// A relay that is about to stop announces it, and completes the calls in progress.
func TestLeavingRelayFinishesItsCalls(t *testing.T) {
	s := newSite(t)
	l := s.link(t)
	if got := l.do(within(t), callTo(w1, startOf("a", 1))); got.err != nil {
		t.Fatal(got.err)
	}
	s.server.Leave()
	for end := time.Now().Add(20 * time.Second); accepts(l) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if got := l.do(within(t), callTo(w1, startOf("b", 1))); !errors.Is(got.err, errNotSent) {
		t.Errorf("call to a leaving relay: %v", got.err)
	}
	late := s.link(t)
	if got := late.do(within(t), callTo(w1, startOf("c", 1))); !errors.Is(got.err, errNotSent) {
		t.Errorf("call on a new link to a leaving relay: %v", got.err)
	}
}

// Guards against orders that a relay still carries out after its instance has reported that
// it stopped.
func TestClosedRelayHasNoCallsInProgress(t *testing.T) {
	s := newSite(t)
	l := s.link(t)
	done := s.hangingStart(t, l)
	s.server.Close()
	s.workers.mu.Lock()
	over := s.workers.over
	s.workers.mu.Unlock()
	if over != 1 {
		t.Errorf("%d starts have returned, want 1", over)
	}
	if got := <-done; !errors.Is(got.err, runner.ErrNoAnswer) {
		t.Errorf("got %v", got.err)
	}
}
