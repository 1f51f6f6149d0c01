package cellowner

import (
	"context"
	"time"

	"gentianstand/internal/cell"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/job"
	"gentianstand/internal/store"
)

const (
	// condensePeriod is how often ended jobs are condensed; together, as each write has
	// its price.
	condensePeriod = 2 * time.Second
	// condenseMargin is how much longer ago than a lease a job must have ended, so that
	// nothing of it runs unseen. What stands longer is read by the next owner, whose link
	// may be small, and nothing is started meanwhile.
	condenseMargin = time.Second
	// condenseMany is how many jobs one transaction condenses: two rows each, beside the
	// check of the claim.
	condenseMany = (store.MaxEntries - 1) / 2
)

// condenseLoop stores ended jobs in a condensed form.
func (o *Owner) condenseLoop(ctx context.Context) {
	if !o.deps.AcrossPartitions {
		return
	}
	for wait(ctx, condensePeriod) {
		for o.deps.Leadership.Confirmed() && o.condense(ctx) {
		}
	}
}

// condense stores some ended jobs and reports whether there may be more. What was not
// stored for certain is stored again later; it makes no difference which form is read.
func (o *Owner) condense(ctx context.Context) bool {
	list := o.cell.Compact(o.lease+condenseMargin, time.Now(), condenseMany)
	if len(list) == 0 {
		return false
	}
	tx, err := o.condensed(list)
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		_, err = o.deps.Store.Commit(callCtx, tx)
		cancel()
	}
	if err != nil {
		o.deps.Log.WithField("jobs", len(list)).WithError(err).Info("jobs_not_condensed")
		o.cell.CompactFailed(list)
		return false
	}
	return len(list) == condenseMany
}

// condensed returns the write of condensed jobs, which an owner makes only as long as its
// claim stands.
func (o *Owner) condensed(list []cell.CompactedJob) (store.Tx, error) {
	progress := o.deps.Jobs.ProgressPartition()
	tx := store.Tx{Partition: progress, Checks: []store.Check{o.claim}}
	for _, e := range list {
		record, err := job.EncodeRecord(e.Record)
		if err != nil {
			return tx, err
		}
		kept, err := job.EncodeProgress(e.Progress)
		if err != nil {
			return tx, err
		}
		id := e.Record.ID
		tx.Puts = append(tx.Puts,
			store.Put{Table: celljobs.TableJobs, Partition: o.deps.Jobs.RecordPartition(id), Key: celljobs.JobKey(id), Value: record},
			store.Put{Table: celljobs.TableProgress, Key: id, Value: kept})
	}
	return tx, nil
}
