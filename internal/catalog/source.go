package catalog

import (
	"context"
	"time"
)

// Source reads the operator's configuration from where it is stored.
type Source interface {
	// Newest returns the newest configuration.
	Newest(ctx context.Context) (Update, error)
	// Since returns a configuration that is newer than a position, and waits for one for
	// at most wait. It returns store.ErrHistoryGone if the changes since the position are
	// no longer kept; the caller then uses Newest.
	Since(ctx context.Context, position uint64, wait time.Duration) (Update, error)
}
