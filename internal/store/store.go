// Package store declares the partitioned transactional store that keeps what
// must last on platforms where instances own nothing: rows in tables and
// partitions, conditional transactions within a partition, and a feed of
// changes.
package store

import (
	"context"
	"time"
)

// Store is such a store. It can be down, slow, or answer some instances only.
// Every method returns ErrUnavailable when nothing was done, and ErrUnknown
// when a write may have taken effect or may still take effect later.
type Store interface {
	// Commit applies all of tx or nothing and returns the new version. If a
	// check does not hold it returns a *ConflictError.
	Commit(ctx context.Context, tx Tx) (uint64, error)
	// Get returns the row of a key, with Version 0 if there is none.
	Get(ctx context.Context, table, partition, key string) (Row, error)
	// Read returns up to a page of rows of a partition with keys from `from`.
	Read(ctx context.Context, table, partition, from string) (Page, error)
	// Changes returns what changed in a table after a version, waiting for at
	// most wait if nothing did. It returns ErrHistoryGone when the store has
	// dropped that part of its history; the caller reads the table again.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}
