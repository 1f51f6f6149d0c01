package catalog

import (
	"context"
	"time"
)

// Source is where the operator's configuration is kept. A nil catalog means
// that there is none, or no news.
type Source interface {
	// Newest returns the configuration and the version for Since.
	Newest(ctx context.Context) (*Catalog, uint64, error)
	// Since waits for at most wait for a configuration after a version. It
	// returns store.ErrHistoryGone when Newest has to be used again.
	Since(ctx context.Context, version uint64, wait time.Duration) (*Catalog, uint64, error)
}
