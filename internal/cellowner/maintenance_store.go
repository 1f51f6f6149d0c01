package cellowner

import (
	"context"

	"gentianstand/internal/store"
	"gentianstand/internal/upkeep"
)

// readBegunMachines returns the machines of a wave whose maintenance a previous owner recorded as
// begun.
func (o *Owner) readBegunMachines(ctx context.Context, wave uint64) ([]string, error) {
	row, err := o.deps.Store.Get(ctx, upkeep.Table, o.deps.Jobs.ProgressPartition(), upkeep.Key(wave))
	if err != nil || row.Version == 0 {
		return nil, err
	}
	return upkeep.DecodeBegunMachines(row.Value)
}

// storeBegunMachines stores the machines of a wave whose maintenance has begun. If that fails,
// the next owner evacuates them again, and the fleet then answers that they have had their
// maintenance.
func (o *Owner) storeBegunMachines(ctx context.Context, wave uint64, begun []string) {
	value, err := upkeep.EncodeBegunMachines(begun)
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
