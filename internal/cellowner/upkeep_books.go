package cellowner

import (
	"context"

	"gentianstand/internal/store"
	"gentianstand/internal/upkeep"
)

// readUpkeep returns the machines of a wave that an earlier owner knew to have begun.
func (o *Owner) readUpkeep(ctx context.Context, wave uint64) ([]string, error) {
	row, err := o.deps.Store.Get(ctx, upkeep.Table, o.deps.Jobs.ProgressPartition(), upkeep.Key(wave))
	if err != nil || row.Version == 0 {
		return nil, err
	}
	return upkeep.DecodeBegunMachines(row.Value)
}

// storeUpkeep keeps the machines of a wave that have begun. If that fails, the next
// owner empties them again and is told that they have had their upkeep.
func (o *Owner) storeUpkeep(ctx context.Context, wave uint64, had []string) {
	value, err := upkeep.EncodeBegunMachines(had)
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		_, err = o.deps.Store.Commit(callCtx, store.Tx{Partition: o.deps.Jobs.ProgressPartition(), Checks: []store.Check{o.claim},
			Puts: []store.Put{{Table: upkeep.Table, Key: upkeep.Key(wave), Value: value}}})
	}
	if err != nil {
		o.deps.Log.WithField("wave", wave).WithError(err).Info("upkeep_not_stored")
	}
}
