package cellowner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gentianstand/internal/cell"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/job"
	"gentianstand/internal/store"
)

const (
	// commitGap is the least time between two commits. It lets ends of one
	// moment be stored together.
	commitGap = 25 * time.Millisecond
	// commitRetry is the pause after the store refused a commit.
	commitRetry = 200 * time.Millisecond
	// commitTimeout bounds one commit with all its attempts, also in a slow store.
	commitTimeout = 1500 * time.Millisecond
	// commitPuts is the most jobs and chunks of known workers in one transaction,
	// beside the checks of the claim and the sequence and the put of the sequence.
	commitPuts = store.MaxEntries - 3
	// keepEnded is how long ended jobs are kept: callers may ask for 120 s, and
	// a delayed repeat of a submission has to find its job.
	keepEnded = 240 * time.Second
	// expirePeriod is how often ended jobs are looked for, and expireMany how many
	// are removed at most each time.
	expirePeriod = 30 * time.Second
	expireMany   = 30
)

// commitResult is how a commit went.
type commitResult int

const (
	nothingToCommit commitResult = iota
	committed
	notCommitted
	claimLost
)

// commitLoop stores progress after ends, cancellations and completions.
func (o *Owner) commitLoop(ctx context.Context) {
	ticker := time.NewTicker(planPeriod)
	defer ticker.Stop()
	expire := time.NewTicker(expirePeriod)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.kickLog:
		case <-ticker.C:
		case <-expire.C:
			o.expire(ctx)
		}
		pause := commitGap
		switch o.commitOnce(ctx) {
		case notCommitted:
			pause = commitRetry
			o.wakeCommit()
		case claimLost:
			o.deps.Leadership.Superseded("the row of the ownership has changed")
			return
		}
		if !wait(ctx, pause) {
			return
		}
	}
}

// commitOnce stores one batch of progress.
func (o *Owner) commitOnce(ctx context.Context) commitResult {
	o.commitMu.Lock()
	defer o.commitMu.Unlock()
	commit := o.cell.NextCommit(commitPuts)
	if commit == nil {
		return nothingToCommit
	}
	began := time.Now()
	tx, err := o.transaction(commit)
	if err != nil {
		o.deps.Log.WithError(err).Error("progress_not_encoded")
		o.cell.CommitFailed(commit)
		return notCommitted
	}
	callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	version, err := o.deps.Jobs.CommitWithRetry(callCtx, tx)
	o.deps.Metrics.Commits.Inc()
	o.deps.Metrics.CommitSeconds.UpdateDuration(began)
	if err != nil {
		return o.commitFailed(ctx, commit, err)
	}
	o.sequence = version
	o.cell.Committed(commit)
	o.announceStored()
	return committed
}

func (o *Owner) transaction(commit *cell.Commit) (store.Tx, error) {
	sequence := store.Check{Table: celljobs.TableProgress, Key: celljobs.SequenceKey, Version: o.sequence}
	tx := store.Tx{Partition: o.deps.Jobs.ProgressPartition(), Checks: []store.Check{o.claim, sequence},
		Puts: []store.Put{{Table: celljobs.TableProgress, Key: celljobs.SequenceKey, Value: []byte{}}}}
	for _, item := range commit.Items {
		value, err := job.EncodeProgress(item.Progress)
		if err != nil {
			return tx, fmt.Errorf("job %s: %w", item.Job, err)
		}
		tx.Puts = append(tx.Puts, store.Put{Table: celljobs.TableProgress, Key: item.Job, Value: value})
	}
	for _, chunk := range commit.Chunks {
		value, err := celljobs.EncodeWorkers(chunk.Workers)
		if err != nil {
			return tx, err
		}
		key := celljobs.WorkersKey(chunk.Number)
		tx.Puts = append(tx.Puts, store.Put{Table: celljobs.TableProgress, Key: key, Value: value})
	}
	return tx, nil
}

// commitFailed learns what it can from a failed commit. After a lost answer the
// next attempt finds another version of the sequence row than it expects: that of
// the first attempt. Only this owner writes it while its claim holds, so it may go
// on from there; and a late effect of the first attempt then meets a changed row.
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
	return committed
}

// expire removes jobs that ended long ago from the store.
func (o *Owner) expire(ctx context.Context) {
	ids := o.cell.RemoveExpired(keepEnded, time.Now(), expireMany)
	if len(ids) == 0 {
		return
	}
	progress := store.Tx{Partition: o.deps.Jobs.ProgressPartition(), Checks: []store.Check{o.claim}}
	for _, id := range ids {
		progress.Removals = append(progress.Removals, store.RowKey{Table: celljobs.TableProgress, Key: id})
	}
	for _, id := range ids {
		// The record goes first: progress without a record is harmless, a record
		// without progress would be a job that has yet to run.
		if !o.remove(ctx, store.Tx{Partition: o.deps.Jobs.RecordPartition(id), Removals: []store.RowKey{
			{Table: celljobs.TableJobs, Key: celljobs.JobKey(id)}, {Table: celljobs.TableJobs, Key: celljobs.CancelKey(id)}}}) {
			return
		}
	}
	o.remove(ctx, progress)
}

// remove commits a removal. What it fails to remove is read again by the next
// owner, which removes it then.
func (o *Owner) remove(ctx context.Context, tx store.Tx) bool {
	callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := o.deps.Store.Commit(callCtx, tx)
	if err != nil {
		o.deps.Log.WithField("partition", tx.Partition).WithError(err).Info("expired_job_not_removed")
	}
	return err == nil
}
