package cellowner

import (
	"context"
	"errors"

	"gentianstand/internal/store"
	"gentianstand/internal/upkeep"
)

// storedWave is what the store records of a wave.
type storedWave struct {
	begun   []string
	ordered []string
	// version is the version of the row with the ordered machines.
	version uint64
}

// readWave reads what previous owners recorded of a wave.
func (o *Owner) readWave(ctx context.Context, wave uint64) (storedWave, error) {
	begun, err := o.readBegunMachines(ctx, wave)
	if err != nil {
		return storedWave{}, err
	}
	row, err := o.deps.Store.Get(ctx, upkeep.Table, o.deps.Jobs.ProgressPartition(), upkeep.OrderedKey(wave))
	if err != nil || row.Version == 0 {
		return storedWave{begun: begun}, err
	}
	ordered, err := upkeep.DecodeOrderedMachines(row.Value)
	return storedWave{begun, ordered.Machines, row.Version}, err
}

// readBegunMachines returns the machines of a wave whose maintenance a previous owner recorded as
// begun.
func (o *Owner) readBegunMachines(ctx context.Context, wave uint64) ([]string, error) {
	row, err := o.deps.Store.Get(ctx, upkeep.Table, o.deps.Jobs.ProgressPartition(), upkeep.Key(wave))
	if err != nil || row.Version == 0 {
		return nil, err
	}
	return upkeep.DecodeBegunMachines(row.Value)
}

// storeWave stores the machines of a wave that have begun and those that may have been ordered, and
// returns the version of their rows. The check of the version keeps an earlier write that is carried
// out late from removing an order that was stored after it.
func (o *Owner) storeWave(ctx context.Context, wave uint64, w storedWave) (uint64, error) {
	begun, err := upkeep.EncodeBegunMachines(w.begun)
	if err != nil {
		return 0, err
	}
	ordered, err := upkeep.OrderedMachines{Machines: w.ordered}.Encode()
	if err != nil {
		return 0, err
	}
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return o.deps.Store.Commit(callCtx, store.Tx{
		Partition: o.deps.Jobs.ProgressPartition(),
		Checks:    []store.Check{o.claim, {Table: upkeep.Table, Key: upkeep.OrderedKey(wave), Version: w.version}},
		Puts: []store.Put{
			{Table: upkeep.Table, Key: upkeep.Key(wave), Value: begun},
			{Table: upkeep.Table, Key: upkeep.OrderedKey(wave), Value: ordered},
		},
	})
}

// orderedRowVersion returns the version of a wave's row of ordered machines that a failed write
// reported, or known if it reported none.
func orderedRowVersion(err error, wave, known uint64) uint64 {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return known
	}
	for _, row := range conflict.Rows {
		if row.Table == upkeep.Table && row.Key == upkeep.OrderedKey(wave) {
			return row.Version
		}
	}
	return known
}
