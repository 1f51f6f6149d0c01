package ownership

import (
	"context"

	"gentianstand/internal/live"
)

// offer sends the next owner of a shard the row that names it. If the table
// became unavailable before the next owner read that row, the shard would have
// no owner during the whole outage. The planner's shard is not offered, because
// its next owner needs the table to read the runs.
func (k *Keeper) offer(shard live.Shard) {
	if shard.Name == live.PlannerShard {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), k.timing.HandoverGrace)
		defer cancel()
		if err := k.peers.OfferShard(ctx, shard); err != nil {
			k.log.WithError(err).WithFields(shardFields(shard)).Info("shard_not_offered")
		}
	}()
}

// ShardOffered records that the row of a shard, as written, names this process
// as its owner. It may be called from any goroutine.
func (k *Keeper) ShardOffered(shard live.Shard) {
	k.mu.Lock()
	k.offered = append(k.offered, shard)
	k.mu.Unlock()
	k.Kick()
}

// acceptOffered takes over the offered shards as if their rows had been read.
// An offer is ignored as late if its row names another process or is older than
// what was read.
func (k *Keeper) acceptOffered() {
	k.mu.Lock()
	offered, view := k.offered, k.view
	k.offered = nil
	k.mu.Unlock()
	for _, shard := range offered {
		held, ok := k.held[shard.Name]
		switch {
		case shard.Owner != k.id.Process:
		case view.Shards[shard.Name].Epoch > shard.Epoch:
		case ok && held.Shard.Epoch >= shard.Epoch:
		default:
			k.take(shard)
		}
	}
}
