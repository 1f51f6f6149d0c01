// Package platform declares the services that gentianstand needs from its platform: a
// transactional table, an object store and an eventually consistent list of instances.
// Package httpwire implements them over HTTP; another wire format needs another adapter.
package platform

import "context"

// Table is the platform's transactional table service. It may be down or slow for long
// periods, in which every method returns ErrUnavailable.
type Table interface {
	// Get returns the row with the given key, or a Row with Version 0 if none exists.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows in key order, whose keys start with prefix and are
	// greater than after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies tx atomically. It returns ErrConflict if a check fails. After
	// ErrUnavailable the transaction may have taken effect; CommitWithRetry resolves that.
	Commit(ctx context.Context, tx Tx) error
}
