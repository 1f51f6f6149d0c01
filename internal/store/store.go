// Package store declares the partitioned transactional store that holds all durable state on
// platforms where instances have none of their own: rows in tables and partitions, conditional
// transactions within a partition, and a feed of changes.
package store

import (
	"context"
	"time"
)

// Store is a client of the transactional store. The store can be down, slow, or reachable
// from some instances only. Every method returns ErrUnavailable when nothing was done, and
// ErrUnknown when a write may have taken effect or may still take effect later.
type Store interface {
	// Commit applies tx atomically and returns the new version. If a check fails, it
	// returns a *ConflictError.
	Commit(ctx context.Context, tx Tx) (uint64, error)
	// Get returns the row of a key, with Version 0 if the row does not exist.
	Get(ctx context.Context, table, partition, key string) (Row, error)
	// Read returns a page of rows of a partition, starting at the key `from`.
	Read(ctx context.Context, table, partition, from string) (Page, error)
	// Changes returns the changes of a table after a version. If there are none, it waits
	// for at most wait. It returns ErrHistoryGone if the store no longer keeps that part
	// of its history; the caller then reads the table again.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}
