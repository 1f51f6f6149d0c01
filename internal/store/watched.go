package store

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// Watched is a Store that remembers whether its last answered or failed call
// was answered, so that an instance knows when the store serves others only.
type Watched struct {
	Store
	// badSince is the time of the first failure after the last answer, in
	// nanoseconds since 1970, or 0.
	badSince atomic.Int64
}

// NewWatched returns s with its health watched.
func NewWatched(s Store) *Watched { return &Watched{Store: s} }

// Reachable reports whether the last call was answered.
func (w *Watched) Reachable() bool { return w.badSince.Load() == 0 }

// Commit implements Store.
func (w *Watched) Commit(ctx context.Context, tx Tx) (uint64, error) {
	version, err := w.Store.Commit(ctx, tx)
	w.note(ctx, err)
	return version, err
}

// Get implements Store.
func (w *Watched) Get(ctx context.Context, table, partition, key string) (Row, error) {
	row, err := w.Store.Get(ctx, table, partition, key)
	w.note(ctx, err)
	return row, err
}

// Read implements Store.
func (w *Watched) Read(ctx context.Context, table, partition, from string) (Page, error) {
	page, err := w.Store.Read(ctx, table, partition, from)
	w.note(ctx, err)
	return page, err
}

// Changes implements Store.
func (w *Watched) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
	page, err := w.Store.Changes(ctx, table, after, wait)
	w.note(ctx, err)
	return page, err
}

func (w *Watched) note(ctx context.Context, err error) {
	failed := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown)
	switch {
	case !failed:
		w.badSince.Store(0)
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller gave up; that says nothing about the store.
	default:
		w.badSince.CompareAndSwap(0, time.Now().UnixNano())
	}
}
