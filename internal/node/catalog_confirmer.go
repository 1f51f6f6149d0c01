package node

import (
	"context"
	"time"

	"gentianstand/internal/access"
	"gentianstand/internal/store"
)

// storeTimeout bounds the question to the store before another instance is asked; the store
// answers in a few milliseconds when it is well.
const storeTimeout = 250 * time.Millisecond

// catalogConfirmer asks the store, or else another instance, for the newest configuration.
// It implements access.Confirmer.
type catalogConfirmer struct {
	reader *catalogReader
	store  *store.Monitored
	peers  access.Confirmer
}

// Confirm implements access.Confirmer.
func (c *catalogConfirmer) Confirm(ctx context.Context) error {
	if c.store.Reachable() && c.confirmFromStore(ctx) == nil {
		return nil
	}
	return c.peers.Confirm(ctx)
}

func (c *catalogConfirmer) confirmFromStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return c.reader.read(ctx, 0)
}
