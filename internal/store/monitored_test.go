package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gentianstand/internal/adaptivetimeout"
)

// scripted is a store whose commits take a set time and return a set error.
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

// Guards against callers that are held until their deadline although the store is known to be
// unreachable.
func TestReachableFollowsTheLastCall(t *testing.T) {
	s := &scripted{}
	w := NewMonitored(s)
	if !w.Reachable() {
		t.Error("unreachable before any call")
	}
	s.err = ErrUnavailable
	_, _ = w.Commit(t.Context(), Tx{}) // its error is scripted
	if w.Reachable() {
		t.Error("reachable after a refusal")
	}
	s.err = &ConflictError{}
	_, _ = w.Commit(t.Context(), Tx{}) // as above
	if !w.Reachable() {
		t.Error("unreachable after a conflict, which is an answer")
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	s.took = time.Minute
	_, _ = w.Commit(cancelled, Tx{}) // as above
	if !w.Reachable() {
		t.Error("unreachable after a caller cancelled")
	}
}

// Guards against retries that lengthen the queues of a slow store: the store becomes 60 times
// slower and recovers, and the timeout has to adapt within a few calls.
func TestCallTimeoutAdaptsToASlowStore(t *testing.T) {
	p := adaptivetimeout.New(callTimeouts)
	for range 50 {
		p.ObserveAnswer(5 * time.Millisecond)
	}
	if got := p.Limit(); got != callTimeouts.Min {
		t.Errorf("limit %v with answers of 5 ms", got)
	}
	p.ObserveTimeout(callTimeouts.Min)
	if got := p.Limit(); got < 700*time.Millisecond {
		t.Errorf("limit %v after one call that timed out", got)
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
		t.Errorf("limit %v after the store recovered", got)
	}
}

// Guards against a needless failover: in a store 60 times slower the owner was superseded
// because of single slow calls, and the cell made no progress for 2.6 s.
func TestOneSlowCallBesideAnsweredOnesIsNoOutage(t *testing.T) {
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
		if unreachable := w.UnreachableFor(time.Now()); unreachable > 0 {
			t.Errorf("unreachable for %v", unreachable)
		}
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// Guards against a late failover: an owner that was partitioned from the store kept the cell
// for 1.7 s.
func TestOutageCountsFromTheLastAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{took: time.Hour}
		w := NewMonitored(s)
		began := time.Now()
		for range 2 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, _ = w.Commit(ctx, Tx{}) // its result is scripted
			cancel()
		}
		if unreachable := w.UnreachableFor(time.Now()); unreachable < time.Since(began) {
			t.Errorf("unreachable for %v, %v after the last answer", unreachable, time.Since(began))
		}
	})
}
