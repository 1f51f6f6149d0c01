package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gentianstand/internal/patience"
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

// Failure: callers were held until their deadline while the store was known to be lost.
func TestWatchedRemembersHowTheLastCallWent(t *testing.T) {
	s := &scripted{}
	w := NewMonitored(s)
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
	p := patience.New(callTimeouts)
	for range 50 {
		p.ObserveAnswer(5 * time.Millisecond)
	}
	if got := p.Limit(); got != callTimeouts.Min {
		t.Errorf("limit %v with answers of 5 ms", got)
	}
	p.ObserveTimeout(callTimeouts.Min)
	if got := p.Limit(); got < 700*time.Millisecond {
		t.Errorf("limit %v after one call that was given up", got)
	}
	for range 20 {
		p.ObserveAnswer(600 * time.Millisecond)
	}
	if got := p.Limit(); got != callTimeouts.Max {
		t.Errorf("limit %v with answers of 600 ms", got)
	}
	for range 60 {
		p.ObserveAnswer(5 * time.Millisecond)
	}
	if got := p.Limit(); got != callTimeouts.Min {
		t.Errorf("limit %v after the slow time", got)
	}
}

// Failure: in a store 60 times slower the owner was overtaken, and the cell stood still
// for 2.6 s.
func TestOneSlowCallBesideAnsweredOnesIsNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{took: 2 * time.Second}
		w := NewMonitored(s)
		go func() { _, _ = w.Commit(t.Context(), Tx{}) }() // its result is scripted
		synctest.Wait()
		for range 5 {
			time.Sleep(200 * time.Millisecond)
			s.took = time.Millisecond
			_, _ = w.Commit(t.Context(), Tx{}) // as above
		}
		if lost := w.UnreachableFor(time.Now()); lost > 0 {
			t.Errorf("lost for %v", lost)
		}
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// Failure: an owner that was cut off from the store kept the cell for 1.7 s.
func TestALossCountsFromTheLastAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{took: time.Hour}
		w := NewMonitored(s)
		began := time.Now()
		for range 2 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, _ = w.Commit(ctx, Tx{}) // its result is scripted
			cancel()
		}
		if lost := w.UnreachableFor(time.Now()); lost < time.Since(began) {
			t.Errorf("lost for %v, %v after the last answer", lost, time.Since(began))
		}
	})
}
