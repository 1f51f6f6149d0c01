package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"gentianstand/internal/adaptivetimeout"
)

// A pending call is overdue, and the store counts as unreachable, after overdueShare of the
// call timeout, but not before minOverdue.
const (
	overdueShare = 0.6
	minOverdue   = 500 * time.Millisecond
)

// Monitored is a Store that tracks the results of its calls, so that an instance detects at
// once when the store is unreachable for it. It is safe for concurrent use.
type Monitored struct {
	Store

	mu sync.Mutex
	// answeredAt is when the last call was answered.
	answeredAt time.Time
	// unreachableSince is the time since which failed calls show that none was answered,
	// or zero if the last call was answered.
	unreachableSince time.Time
	// reachableSince is when the first call after a failure was answered.
	reachableSince time.Time
	// pending holds the start times of the calls in progress.
	pending map[int]time.Time
	next    int
	timeout *adaptivetimeout.Timeout
	// endedAt is when the last call ended, with or without an answer.
	endedAt time.Time
}

// NewMonitored wraps s in a Monitored store. The store counts as reachable until a call fails.
func NewMonitored(s Store) *Monitored {
	return &Monitored{Store: s, answeredAt: time.Now(), reachableSince: time.Now(), pending: map[int]time.Time{},
		timeout: adaptivetimeout.New(callTimeouts)}
}

// Reachable reports whether the last call was answered and none is overdue.
func (w *Monitored) Reachable() bool { return w.UnreachableFor(time.Now()) == 0 }

// CallTimeout returns how long to wait for the answer to a call. It adapts to the duration of
// recent calls.
func (w *Monitored) CallTimeout() time.Duration { return w.timeout.Limit() }

// UnreachableFor returns for how long the store has been unreachable from this instance, or 0.
// The time of an unanswered call counts only from the last answer to another call: its
// connection alone may be dead, and in a slow store some calls take more than 0.5 seconds
// while others are answered.
func (w *Monitored) UnreachableFor(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.unreachableSince.IsZero() {
		return max(1, now.Sub(w.unreachableSince))
	}
	overdue := max(minOverdue, time.Duration(overdueShare*float64(w.timeout.Limit())))
	for _, began := range w.pending {
		if late := now.Sub(later(began, w.answeredAt)); late > overdue {
			return late
		}
	}
	return 0
}

// ReachableFor returns for how long the store has been reachable without a failure, or 0.
func (w *Monitored) ReachableFor(now time.Time) time.Duration {
	if w.UnreachableFor(now) > 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.reachableSince)
}

// Commit implements Store.
func (w *Monitored) Commit(ctx context.Context, tx Tx) (uint64, error) {
	done := w.begin()
	version, err := w.Store.Commit(ctx, tx)
	done(ctx, err)
	return version, err
}

// Get implements Store.
func (w *Monitored) Get(ctx context.Context, table, partition, key string) (Row, error) {
	done := w.begin()
	row, err := w.Store.Get(ctx, table, partition, key)
	done(ctx, err)
	return row, err
}

// Read implements Store.
func (w *Monitored) Read(ctx context.Context, table, partition, from string) (Page, error) {
	done := w.begin()
	page, err := w.Store.Read(ctx, table, partition, from)
	done(ctx, err)
	return page, err
}

// Changes implements Store.
func (w *Monitored) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
	if wait > 0 {
		// A feed may legitimately wait for its whole time, so the call is not pending:
		// it must not count as overdue or affect the adaptive timeout.
		page, err := w.Store.Changes(ctx, table, after, wait)
		w.recordResult(ctx, time.Now(), err)
		return page, err
	}
	done := w.begin()
	page, err := w.Store.Changes(ctx, table, after, wait)
	done(ctx, err)
	return page, err
}

// begin registers a call as pending and returns the function that records its result. A call
// that timed out raises the timeout of the next ones even if no other call was answered: when a
// store becomes slow, all calls may time out before the first answer arrives.
func (w *Monitored) begin() func(context.Context, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := w.next
	w.next++
	began := time.Now()
	w.pending[id] = began
	return func(ctx context.Context, err error) {
		w.mu.Lock()
		delete(w.pending, id)
		w.mu.Unlock()
		switch {
		case err == nil:
			w.timeout.ObserveAnswer(time.Since(began))
		case errors.Is(err, ErrUnknown) && errors.Is(ctx.Err(), context.DeadlineExceeded):
			w.timeout.ObserveTimeout(time.Since(began))
		}
		w.recordResult(ctx, began, err)
	}
}

// recordResult updates the store's health with the result of a call that was pending since
// began.
func (w *Monitored) recordResult(ctx context.Context, began time.Time, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endedAt = time.Now()
	failed := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown)
	if !failed {
		w.answeredAt = time.Now()
	}
	switch {
	case !failed && !w.unreachableSince.IsZero():
		w.unreachableSince = time.Time{}
		w.reachableSince = time.Now()
	case !failed:
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller cancelled the call, which is no evidence about the store.
	case w.unreachableSince.IsZero():
		w.unreachableSince = later(began, w.answeredAt)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
