package ownership

import (
	"context"

	"gentianstand/internal/live"
)

// Peers gives a Keeper access to electors and to the next owners of its shards.
type Peers interface {
	// AttestOutage asks an elector to attest an outage of the table to subject.
	AttestOutage(ctx context.Context, elector, subject live.Process) (bool, error)
	// Fence asks an elector never again to attest an outage to subject.
	Fence(ctx context.Context, elector, subject live.Process) error
	// OfferShard sends the written row of a shard to the owner that it names.
	OfferShard(ctx context.Context, shard live.Shard) error
}
