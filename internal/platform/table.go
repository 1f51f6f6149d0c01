// Package platform declares what gentianstand needs from the platform: a
// transactional table, an object store and a lagging list of instances. The
// wire is in package httpwire; another wire is another adapter.
package platform

import "context"

// Table is the platform's transactional table service. It can be down or
// slow for long stretches; every method returns ErrUnavailable then.
type Table interface {
	// Get returns the row of key, or a Row with Version 0 if there is none.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose keys start with prefix and sort
	// after the key after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all of tx or nothing. It returns ErrConflict if a check
	// does not hold. After ErrUnavailable the transaction may have taken
	// effect; Settle finds out.
	Commit(ctx context.Context, tx Tx) error
}
