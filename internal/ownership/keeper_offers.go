package ownership

import (
	"context"

	"gentianstand/internal/live"
)

// offer tells the next owner of a shard of the row that names it. If the table goes down
// before it has read that row, nobody would own the shard for all of the outage. The
// planner's shard is not offered: its next owner needs the table to read the runs.
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

// ShardOffered takes in that the written row of a shard names this process as its owner.
// It may be called from anywhere.
func (k *Keeper) ShardOffered(shard live.Shard) {
	k.mu.Lock()
	k.offered = append(k.offered, shard)
	k.mu.Unlock()
	k.Kick()
}

// acceptOffered takes the offered shards, as if their rows had been read. A row that
// names another process, or is older than what was read, is passed over: the offer
// was late.
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
