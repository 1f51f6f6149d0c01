package roster

import (
	"context"
	"time"
)

// Source provides the registered workers and their changes.
type Source interface {
	// All returns every registered worker.
	All(ctx context.Context) (Change, error)
	// Since returns the changes after a version; see store.Store.Changes.
	Since(ctx context.Context, version uint64, wait time.Duration) (Change, error)
}
