package ownership

import (
	"context"

	"gentianstand/internal/live"
)

// Peers is how a Keeper reaches electors and the next owners of its shards.
type Peers interface {
	// AttestOutage asks an elector to vouch for subject.
	AttestOutage(ctx context.Context, elector, subject live.Process) (bool, error)
	// Fence asks an elector never again to vouch for subject.
	Fence(ctx context.Context, elector, subject live.Process) error
	// Give tells the owner that a shard's row names of the row, which was written.
	OfferShard(ctx context.Context, shard live.Shard) error
}
