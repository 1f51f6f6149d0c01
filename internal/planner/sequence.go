package planner

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/google/uuid"

	"gentianstand/internal/live"
	"gentianstand/internal/platform"
)

// sequenceKey is the row that every write of a planner checks and replaces.
const sequenceKey = "planner/sequence"

// errSuperseded means that a planner with a higher epoch writes now.
var errSuperseded = errors.New("a later planner has taken over")

// sequence serializes the writes of all planners. Each write checks and
// replaces one row. A write of this or a previous planner that is delayed in
// the network then finds the row changed and has no effect. Without this check
// it could restore an older state of a run and cause a task to run twice.
type sequence struct {
	table   platform.Table
	epoch   uint64
	version uint64
	// unconfirmed is true after a write without an answer; version may then be
	// out of date.
	unconfirmed bool
}

// open fences all previous planners. It must succeed before runs are read. The
// write also checks that the planner's shard still has this epoch.
func (s *sequence) open(ctx context.Context, epoch uint64) error {
	s.epoch = epoch
	key := live.ShardKey(live.PlannerShard)
	row, err := s.table.Get(ctx, key)
	if err != nil {
		return err
	}
	var shard live.Shard
	if err := json.Unmarshal(row.Value, &shard); err != nil {
		return err
	}
	if shard.Epoch != epoch {
		return errSuperseded
	}
	last, err := s.table.Get(ctx, sequenceKey)
	if err != nil {
		return err
	}
	tx := s.transaction(last.Version)
	tx.Checks = append(tx.Checks, platform.Check{Key: key, Version: row.Version})
	if err := s.table.Commit(ctx, tx); err != nil {
		return err
	}
	return s.refresh(ctx)
}

// commit writes rows. It returns errSuperseded if a later planner has opened
// the sequence, and wraps platform.ErrUnavailable if the outcome is not known.
func (s *sequence) commit(ctx context.Context, puts []platform.Put, deletes []string) error {
	if s.unconfirmed {
		if err := s.refresh(ctx); err != nil {
			return err
		}
	}
	tx := s.transaction(s.version)
	tx.Puts = append(tx.Puts, puts...)
	tx.Deletes = deletes
	s.unconfirmed = true
	err := s.table.Commit(ctx, tx)
	if errors.Is(err, platform.ErrConflict) {
		if err := s.refresh(ctx); err != nil {
			return err
		}
		return platform.ErrUnavailable
	}
	if err != nil {
		return err
	}
	return s.refresh(ctx)
}

func (s *sequence) transaction(version uint64) platform.Tx {
	value, _ := json.Marshal(sequenceRow{Epoch: s.epoch})
	return platform.Tx{
		ID:     uuid.NewString(),
		Checks: []platform.Check{{Key: sequenceKey, Version: version}},
		Puts:   []platform.Put{{Key: sequenceKey, Value: value}},
	}
}

// refresh reads the row's version. It returns errSuperseded if a later planner
// has written the row.
func (s *sequence) refresh(ctx context.Context) error {
	row, err := s.table.Get(ctx, sequenceKey)
	if err != nil {
		return err
	}
	var value sequenceRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return err
	}
	if value.Epoch > s.epoch {
		return errSuperseded
	}
	s.version, s.unconfirmed = row.Version, false
	return nil
}

// sequenceRow is the value stored under sequenceKey.
type sequenceRow struct {
	Epoch uint64 `json:"epoch"`
}
