package cellowner

import (
	"context"
	"errors"
	"time"

	"gentianstand/internal/cell"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/store"
)

const (
	// minCommitInterval is the least time between two commits. It lets ends that arrive together
	// be stored in one transaction.
	minCommitInterval = 25 * time.Millisecond
	// commitRetryDelay is the pause after a failed commit.
	commitRetryDelay = 200 * time.Millisecond
	// commitTimeout bounds one commit with all its attempts, in a slow store too.
	commitTimeout = 1500 * time.Millisecond
	// maxCommitPuts is the maximum number of jobs and chunks of known workers in one transaction,
	// together with the checks of marks. The other 3 entries are the checks of the claim and of the
	// sequence row, and the put of the sequence row.
	maxCommitPuts = store.MaxEntries - 3
	// maxCommitBytes is the room for values in one transaction. The rest is for its checks, of which
	// there is at most one for each entry.
	maxCommitBytes = store.MaxTxBytes - 30_000
	// endedJobRetention is how long ended jobs are kept: callers may ask about them for 120 s,
	// and a delayed retry of a submission has to find its job.
	endedJobRetention = 240 * time.Second
	// expireInterval is the interval between removals of expired jobs, and between attempts at rows that
	// the store does not take. expireBatchSize is the maximum number of jobs that is removed each time.
	expireInterval  = 30 * time.Second
	expireBatchSize = 30
)

// commitResult is the outcome of one commit.
type commitResult int

const (
	nothingToCommit commitResult = iota
	committed
	notCommitted
	claimLost
)

// commitLoop stores progress after tasks end and after jobs are cancelled or completed.
func (o *Owner) commitLoop(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	expireTicker := time.NewTicker(expireInterval)
	defer expireTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.commitSignal:
		case <-ticker.C:
		case <-expireTicker.C:
			o.removeExpired(ctx)
			o.cell.RetryRejected()
		}
		pause := minCommitInterval
		switch o.commitOnce(ctx) {
		case notCommitted:
			pause = commitRetryDelay
			o.wakeCommitter()
		case claimLost:
			o.deps.Leadership.Superseded("the row of the ownership has changed")
			return
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// commitOnce stores one batch of progress.
func (o *Owner) commitOnce(ctx context.Context) commitResult {
	o.commitMu.Lock()
	defer o.commitMu.Unlock()
	commit := o.cell.NextCommit(maxCommitPuts)
	if commit == nil {
		return nothingToCommit
	}
	err := o.store(ctx, commit)
	var rejected *store.RejectedError
	if errors.As(err, &rejected) {
		return o.storeSeparately(ctx, commit, err)
	}
	if err != nil {
		return o.commitFailed(ctx, commit, err)
	}
	o.cell.Committed(commit)
	o.notifyCommitted()
	return committed
}

// store writes a commit.
func (o *Owner) store(ctx context.Context, commit *cell.Commit) error {
	began := time.Now()
	tx, err := o.commitTx(commit)
	if err != nil {
		o.deps.Log.WithError(err).Error("progress_not_encoded")
		return &store.RejectedError{Reason: err.Error()}
	}
	if err := o.checkRows(tx); err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	version, err := o.deps.Jobs.CommitWithRetry(callCtx, tx)
	o.deps.Metrics.Commits.Inc()
	o.deps.Metrics.CommitSeconds.UpdateDuration(began)
	if err == nil {
		o.sequence = version
	}
	return err
}

// commitTx builds the transaction of a commit. It requires that the claim and the sequence row
// are unchanged, and that the jobs that it completes or fails have no mark.
func (o *Owner) commitTx(commit *cell.Commit) (store.Tx, error) {
	sequence := store.Check{Table: celljobs.TableProgress, Key: celljobs.SequenceKey, Version: o.sequence}
	tx := store.Tx{Partition: o.deps.Jobs.ProgressPartition(), Checks: []store.Check{o.claim, sequence},
		Puts: []store.Put{{Table: celljobs.TableProgress, Key: celljobs.SequenceKey, Value: []byte{}}}}
	for _, item := range commit.Items {
		puts, removals, err := encodeItem(item)
		if err != nil {
			return tx, err
		}
		tx.Puts = append(tx.Puts, puts...)
		tx.Removals = append(tx.Removals, removals...)
		if item.FirstEnd {
			tx.Checks = append(tx.Checks, store.Check{Table: celljobs.TableProgress, Key: celljobs.MarkKey(item.Job)})
		}
	}
	for _, chunk := range commit.Chunks {
		put, err := encodeChunk(chunk)
		if err != nil {
			return tx, err
		}
		tx.Puts = append(tx.Puts, put)
	}
	return tx, nil
}

// commitFailed handles a failed commit. If the answer to an attempt was lost, the next attempt
// finds the sequence row at the version that the first attempt wrote. Only this owner writes that
// row while its claim holds, so the owner continues from that version. An attempt that takes
// effect even later then fails its check of the sequence row.
func (o *Owner) commitFailed(ctx context.Context, commit *cell.Commit, err error) commitResult {
	o.deps.Metrics.CommitErrors.Inc()
	o.cell.CommitFailed(commit)
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		if ctx.Err() == nil {
			o.deps.Log.WithField("jobs", len(commit.Items)).WithError(err).Info("commit_failed")
		}
		return notCommitted
	}
	for _, row := range conflict.Rows {
		switch {
		case row.Table == o.claim.Table && row.Key == o.claim.Key && row.Version != o.claim.Version:
			return claimLost
		case row.Table == celljobs.TableProgress && row.Key == celljobs.SequenceKey:
			o.sequence = row.Version
		}
	}
	if !o.resolveEnds(ctx, conflict.Rows) {
		return notCommitted
	}
	return committed
}

// removeExpired removes jobs from the store that ended more than endedJobRetention ago.
func (o *Owner) removeExpired(ctx context.Context) {
	ids := o.cell.Expired(endedJobRetention, time.Now(), expireBatchSize)
	if len(ids) == 0 {
		return
	}
	progress := store.Tx{Partition: o.deps.Jobs.ProgressPartition(), Checks: []store.Check{o.claim}}
	for _, id := range ids {
		progress.Removals = append(progress.Removals, store.RowKey{Table: celljobs.TableProgress, Key: id},
			store.RowKey{Table: celljobs.TableProgress, Key: celljobs.MarkKey(id)})
	}
	for _, id := range ids {
		// The record is removed first: progress without a record is harmless, but a record
		// without progress is a job that has not run yet.
		if !o.commitRemoval(ctx, store.Tx{Partition: o.deps.Jobs.RecordPartition(id), Removals: []store.RowKey{
			{Table: celljobs.TableJobs, Key: celljobs.JobKey(id)}, {Table: celljobs.TableJobs, Key: celljobs.CancelKey(id)}}}) {
			return
		}
		o.cell.Remove(id, time.Now())
	}
	o.commitRemoval(ctx, progress)
}

// commitRemoval commits a removal. Records that it fails to remove are removed later, by this owner or
// the next one.
func (o *Owner) commitRemoval(ctx context.Context, tx store.Tx) bool {
	callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := o.deps.Store.Commit(callCtx, tx)
	if err != nil {
		o.deps.Log.WithField("partition", tx.Partition).WithError(err).Info("expired_job_not_removed")
	}
	return err == nil
}
