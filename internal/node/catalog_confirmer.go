package node

import (
	"context"
	"time"

	"gentianstand/internal/access"
	"gentianstand/internal/store"
)

// storeTimeout bounds the read from the store before another instance is asked. A healthy store
// answers in a few milliseconds.
const storeTimeout = 250 * time.Millisecond

// catalogConfirmer confirms the catalog in force with the store or, if that fails, with another
// instance. It implements access.Confirmer.
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
