package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"gentianstand/internal/patience"
)

// overdueShare of the wait for an answer is how long a call may be unanswered
// before the store counts as lost; minOverdue is the least time.
const (
	overdueShare = 0.6
	minOverdue   = 500 * time.Millisecond
)

// Monitored is a Store that remembers how its calls went, so that an instance
// knows at once when the store does not serve it.
type Monitored struct {
	Store

	mu sync.Mutex
	// answeredAt is when the last call was answered.
	answeredAt time.Time
	// unreachableSince is since when no call was answered, as far as the calls that have
	// failed tell, or zero.
	unreachableSince time.Time
	// reachableSince is when the first call was answered after a failure.
	reachableSince time.Time
	// pending are the starts of the calls under way.
	pending map[int]time.Time
	next    int
	timeout *patience.AdaptiveTimeout
	// endedAt is when the last call ended, in whichever way.
	endedAt time.Time
}

// NewMonitored returns s with its health watched.
func NewMonitored(s Store) *Monitored {
	return &Monitored{Store: s, answeredAt: time.Now(), reachableSince: time.Now(), pending: map[int]time.Time{},
		timeout: patience.New(callTimeouts)}
}

// Reachable reports whether the last call was answered and none is overdue.
func (w *Monitored) Reachable() bool { return w.UnreachableFor(time.Now()) == 0 }

// CallTimeout returns how long to wait for the answer to a call, from how long answers
// have lately taken.
func (w *Monitored) CallTimeout() time.Duration { return w.timeout.Limit() }

// UnreachableFor returns for how long the store has not served this instance, or 0. One
// call without an answer counts only from the last answer to another one: its
// connection may have gone silent alone, and in a slow store
// some calls take more than half a second while others are answered.
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

// ReachableFor returns for how long the store has served this instance without a
// failure, or 0.
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
		// A feed that waits may be silent for all of its time: that says nothing.
		page, err := w.Store.Changes(ctx, table, after, wait)
		w.recordResult(ctx, time.Now(), err)
		return page, err
	}
	done := w.begin()
	page, err := w.Store.Changes(ctx, table, after, wait)
	done(ctx, err)
	return page, err
}

// begin books a call and returns what to call with its result. A call that was given up
// makes the next ones wait longer, also if no other call was answered meanwhile: in a
// store that turns slow all calls may be given up before the first answer comes.
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

// recordResult takes in how a call ended that was not answered since began.
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
		// The caller gave up; that says nothing about the store.
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
