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
	// compactInterval is how often ended jobs are compacted. They are compacted in batches,
	// because each write has a cost.
	compactInterval = 2 * time.Second
	// compactMargin is added to the lease: a job must have ended that long ago, so that none of
	// its runs can still execute unobserved. The margin is short because the next owner reads
	// jobs in full until they are compacted. Its link may be slow, and it starts no task before
	// it has read all jobs.
	compactMargin = time.Second
	// compactBatchSize is the number of jobs that one transaction compacts. Each takes 2 rows,
	// and the check of the claim takes one entry.
	compactBatchSize = (store.MaxEntries - 1) / 2
)

// compactLoop stores ended jobs in a compact form.
func (o *Owner) compactLoop(ctx context.Context) {
	if !o.deps.AcrossPartitions {
		return
	}
	for sleep(ctx, compactInterval) {
		for o.deps.Leadership.Confirmed() && o.compactBatch(ctx) {
		}
	}
}

// compactBatch compacts one batch of ended jobs and reports whether there may be more. A batch
// whose write may have failed is written again later; readers accept both forms.
func (o *Owner) compactBatch(ctx context.Context) bool {
	list := o.cell.Compact(o.lease+compactMargin, time.Now(), compactBatchSize)
	if len(list) == 0 {
		return false
	}
	tx, err := o.compactionTx(list)
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
	return len(list) == compactBatchSize
}

// compactionTx returns the transaction that stores compacted jobs. It requires that the claim is
// unchanged.
func (o *Owner) compactionTx(list []cell.CompactedJob) (store.Tx, error) {
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
