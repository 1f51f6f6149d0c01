package store

import (
	"context"
	"testing"
	"time"
)

// scripted answers calls as a test says.
type scripted struct {
	Store
	err  error
	took time.Duration
}

func (s *scripted) Commit(ctx context.Context, _ Tx) (uint64, error) {
	select {
	case <-ctx.Done():
		return 0, ErrUnknown
	case <-time.After(s.took):
		return 1, s.err
	}
}

// Symptom: callers were held until their deadline while the store was known to
// be lost.
// Sequence: a call is refused; later calls are answered.
// Cause: nobody remembered how the last call went.
func TestWatchedRemembersHowTheLastCallWent(t *testing.T) {
	s := &scripted{}
	w := NewWatched(s)
	if !w.Reachable() {
		t.Error("lost before any call")
	}
	s.err = ErrUnavailable
	_, _ = w.Commit(t.Context(), Tx{}) // its error is scripted
	if w.Reachable() {
		t.Error("reachable after a refusal")
	}
	s.err = &ConflictError{}
	_, _ = w.Commit(t.Context(), Tx{}) // as above
	if !w.Reachable() {
		t.Error("lost although a conflict is an answer")
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	s.took = time.Minute
	_, _ = w.Commit(cancelled, Tx{}) // as above
	if !w.Reachable() {
		t.Error("lost because a caller gave up")
	}
}

// Load: a store turns 60 times slower and back. The wait follows in a few calls,
// so that calls are not given up and repeated into its queues.
func TestPatienceFollowsASlowStore(t *testing.T) {
	var p patience
	for range 50 {
		p.answered(5 * time.Millisecond)
	}
	if got := p.limit(); got != patienceLeast {
		t.Errorf("limit %v with answers of 5 ms", got)
	}
	p.gaveUp(patienceLeast)
	if got := p.limit(); got < 700*time.Millisecond {
		t.Errorf("limit %v after one call that was given up", got)
	}
	for range 20 {
		p.answered(600 * time.Millisecond)
	}
	if got := p.limit(); got != patienceMost {
		t.Errorf("limit %v with answers of 600 ms", got)
	}
	for range 60 {
		p.answered(5 * time.Millisecond)
	}
	if got := p.limit(); got != patienceLeast {
		t.Errorf("limit %v after the slow time", got)
	}
}
