package catalog

import (
	"context"
	"time"
)

// Source is where the operator's configuration is kept.
type Source interface {
	// Newest returns the configuration.
	Newest(ctx context.Context) (Update, error)
	// Since waits for at most wait for a configuration after a position. It
	// returns store.ErrHistoryGone when Newest has to be used again.
	Since(ctx context.Context, position uint64, wait time.Duration) (Update, error)
}
