package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/live"
	"gentianstand/internal/platform"
)

// applyDecisions writes the changes that Decide returns and records their
// result.
func (k *Keeper) applyDecisions(ctx context.Context, view live.View) {
	if !k.session.Valid(time.Now()) {
		return
	}
	k.removeDeadInstances(ctx, view)
	actions := Decide(Input{Self: k.id.Process, View: view, Locations: k.locations(), Alive: k.observer.Alive, Renewing: k.observer.Renewing})
	if len(actions) == 0 {
		return
	}
	tx := platform.Tx{ID: uuid.NewString()}
	for _, a := range actions {
		value, err := json.Marshal(a.Shard)
		if err != nil {
			return
		}
		key := live.ShardKey(a.Shard.Name)
		tx.Checks = append(tx.Checks, platform.Check{Key: key, Version: a.ExpectedVersion})
		tx.Puts = append(tx.Puts, platform.Put{Key: key, Value: value})
	}
	sentAt := time.Now()
	err := k.table.Commit(ctx, tx)
	switch {
	case err == nil:
		k.recordChanges(actions, sentAt)
	case errors.Is(err, platform.ErrConflict):
		k.log.Debug("shard_write_conflict")
	default:
		k.handleUnconfirmedWrite(actions, sentAt)
	}
}

// removeDeadInstances removes the rows of processes that have been dead so long
// that nobody can still need them, if this process owns the planner shard.
// Instances come and go under new IDs, and every poll reads all rows.
func (k *Keeper) removeDeadInstances(ctx context.Context, view live.View) {
	if _, plans := k.held[live.PlannerShard]; !plans {
		return
	}
	for id, inst := range view.Instances {
		if !k.observer.Dead(inst.Process, 2*k.timing.OutageGrace) {
			continue
		}
		key := live.InstanceKey(id)
		tx := platform.Tx{
			ID:      uuid.NewString(),
			Checks:  []platform.Check{{Key: key, Version: inst.Version}},
			Deletes: []string{key},
		}
		if err := k.table.Commit(ctx, tx); err == nil {
			k.log.WithField("process", inst.Process.String()).Info("row_removed")
		}
	}
}

func (k *Keeper) recordChanges(actions []Action, sentAt time.Time) {
	for _, a := range actions {
		if a.Shard.Owner == k.id.Process {
			k.take(a.Shard)
		} else {
			k.markHandedOver(a.Shard.Name, sentAt)
			k.offer(a.Shard)
		}
	}
}

// handleUnconfirmedWrite handles a write whose answer was lost. A shard that it
// may have handed over counts as handed over from the time the write was sent,
// because the next owner relies on this process to stop, even if the table
// remains unavailable.
func (k *Keeper) handleUnconfirmedWrite(actions []Action, sentAt time.Time) {
	for _, a := range actions {
		if a.Shard.Owner != k.id.Process {
			k.markHandedOver(a.Shard.Name, sentAt)
			k.unconfirmed[a.Shard.Name] = a.ExpectedVersion
		}
	}
	k.log.WithField("shards", len(actions)).Warn("shard_write_in_doubt")
}

// syncShards takes over rows that name this process as owner, including those
// left by a previous owner's handover or by a write with a lost answer. It
// drops shards that have another owner.
func (k *Keeper) syncShards(view live.View) {
	for name, row := range view.Shards {
		held, ok := k.held[name]
		switch {
		case row.Owner != k.id.Process:
			delete(k.unconfirmed, name)
			if ok && held.Shard.Epoch < row.Epoch {
				delete(k.held, name)
				k.log.WithFields(shardFields(row)).Info("shard_dropped")
			}
		case k.unconfirmed[name] == row.Version && row.Version != 0:
			k.bumpVersion(row)
		case !ok || held.Shard.Epoch < row.Epoch:
			delete(k.unconfirmed, name)
			k.take(row)
		default:
			held.Shard = row
			k.held[name] = held
		}
	}
}

// bumpVersion rewrites a row unchanged, so that an unconfirmed handover that is
// still in transit finds another version and has no effect.
func (k *Keeper) bumpVersion(row live.Shard) {
	ctx, cancel := context.WithTimeout(context.Background(), k.timing.Poll)
	defer cancel()
	if err := k.rewrite(ctx, row); err != nil {
		k.log.WithError(err).WithFields(shardFields(row)).Warn("shard_touch_failed")
	}
}

func (k *Keeper) take(row live.Shard) {
	k.held[row.Name] = HeldShard{Shard: row, TakenAt: time.Now(), Fenced: map[live.Process]time.Time{}}
	delete(k.handedOver, row.Name)
	k.log.WithFields(shardFields(row)).Info("shard_taken")
}

func (k *Keeper) markHandedOver(name string, sentAt time.Time) {
	held, ok := k.held[name]
	if !ok {
		return
	}
	held.HandedOverAt = sentAt
	k.handedOver[name] = held
	delete(k.held, name)
	k.log.WithFields(shardFields(held.Shard)).Info("shard_handed_over")
}

func shardFields(row live.Shard) logrus.Fields {
	return logrus.Fields{"shard": row.Name, "epoch": row.Epoch, "owner": row.Owner.Instance}
}

// clearPredecessors removes predecessors that have certainly stopped from the
// rows.
func (k *Keeper) clearPredecessors(ctx context.Context) {
	now := time.Now()
	for name, held := range k.held {
		if len(held.Shard.Predecessors) == 0 || held.Shard.Version == 0 || !held.PredecessorsGone(k.timing, now) {
			continue
		}
		next := held.Shard
		next.Predecessors = nil
		if k.rewrite(ctx, next) == nil {
			next.Version = 0
			held.Shard = next
			k.held[name] = held
		}
	}
}

// rewrite stores a row that this process owns, if it has not changed in the
// meantime.
func (k *Keeper) rewrite(ctx context.Context, row live.Shard) error {
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	key := live.ShardKey(row.Name)
	return k.table.Commit(ctx, platform.Tx{
		ID:     uuid.NewString(),
		Checks: []platform.Check{{Key: key, Version: row.Version}},
		Puts:   []platform.Put{{Key: key, Value: value}},
	})
}

func (k *Keeper) publish() {
	now := time.Now()
	list := make([]HeldShard, 0, len(k.held)+len(k.handedOver))
	for _, held := range k.held {
		list = append(list, held)
	}
	for name, held := range k.handedOver {
		if now.Sub(held.HandedOverAt) >= k.timing.HandoverGrace {
			delete(k.handedOver, name)
			continue
		}
		list = append(list, held)
	}
	k.listener.HeldChanged(list)
}
