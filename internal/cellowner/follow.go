package cellowner

import (
	"context"
	"errors"
	"time"

	"gentianstand/internal/celljobs"
	"gentianstand/internal/job"
	"gentianstand/internal/store"
)

const (
	// jobsPollInterval is how often the store is read for jobs whose accepting instance could not
	// notify this owner.
	jobsPollInterval = 500 * time.Millisecond
	// rosterPollInterval is how often the roster is read. A draining worker must get no new tasks
	// after 2 s.
	rosterPollInterval = 400 * time.Millisecond
	// readTimeout bounds one read. A slow store needs about 250 ms.
	readTimeout = time.Second
	// changesTimeout bounds one read of changed rows. The client of the store times out earlier
	// if no data arrives. A full page takes seconds over a slow link.
	changesTimeout = 4 * time.Second
	// reloadTimeout bounds a read of all jobs, which is as much as a new owner reads.
	reloadTimeout = loadTimeout
)

// followJobs applies new jobs and cancellations from the store.
func (o *Owner) followJobs(ctx context.Context) {
	for ; ctx.Err() == nil; o.awaitNextRead(ctx) {
		began := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, changesTimeout)
		page, err := o.deps.Store.Changes(callCtx, celljobs.TableJobs, o.jobsVersion, 0)
		cancel()
		switch {
		case errors.Is(err, store.ErrHistoryGone):
			o.reloadJobs(ctx)
		case err != nil:
			o.deps.Log.WithError(err).Debug("jobs_not_read")
		case len(page.Rows) > 0 && !o.verifyClaim(ctx):
			// Rows that were stored after another owner loaded the cell belong to that owner.
		default:
			o.jobsVersion = page.Version
			o.jobsAge.markRead(time.Now())
			o.applyJobRows(page.Rows)
			if !page.More {
				o.cell.JobsRead(began)
			}
		}
		o.loadMissingJobs(ctx)
	}
}

// awaitNextRead waits until the next read of the jobs is due, or until a job is missing.
func (o *Owner) awaitNextRead(ctx context.Context) {
	timer := time.NewTimer(jobsPollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-o.jobsSignal:
	}
}

// verifyClaim reads the claim and reports whether it is unchanged. A changed claim ends the
// ownership.
func (o *Owner) verifyClaim(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	row, err := o.deps.Store.Get(callCtx, o.claim.Table, o.deps.Jobs.ProgressPartition(), o.claim.Key)
	if err != nil {
		o.deps.Log.WithError(err).Debug("claim_not_read")
		return false
	}
	if row.Version != o.claim.Version {
		o.deps.Leadership.Superseded("the row of the ownership has changed")
		return false
	}
	return true
}

// loadMissingJobs loads the jobs from the store that workers report and the cell does not know.
func (o *Owner) loadMissingJobs(ctx context.Context) {
	for _, id := range o.cell.UnknownJobs() {
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		row, err := o.deps.Store.Get(callCtx, celljobs.TableJobs, o.deps.Jobs.RecordPartition(id), celljobs.JobKey(id))
		var kept celljobs.StoredProgress
		if err == nil {
			kept, err = o.deps.Jobs.Progress(callCtx, id)
		}
		cancel()
		switch {
		case err != nil:
			o.deps.Log.WithField("job", id).WithError(err).Info("missing_job_not_read")
			return
		case row.Version == 0:
			o.deps.Log.WithField("job", id).Warn("reported_job_is_nobodys")
			o.cell.MarkAbsent(id)
		case !o.verifyClaim(ctx):
			// The answer to a poll from before a takeover can show a run of the successor, and the
			// job may be unknown to this owner because only the successor was told of it.
			return
		default:
			o.deps.Log.WithField("job", id).Info("missing_job_loaded")
			o.loadJob(id, row, kept)
		}
		o.wakePlanner()
	}
}

// reloadJobs reads all jobs, because the store no longer has the changes since jobsVersion.
func (o *Owner) reloadJobs(ctx context.Context) {
	began := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, reloadTimeout)
	defer cancel()
	rows, version, err := o.deps.Jobs.Records(callCtx)
	if err != nil {
		o.deps.Log.WithError(err).Info("jobs_not_reloaded")
		return
	}
	if len(rows) > 0 && !o.verifyClaim(ctx) {
		// Some of the jobs may belong to another owner only.
		return
	}
	o.jobsVersion = version
	o.jobsAge.markRead(time.Now())
	o.applyJobRows(rows)
	o.cell.JobsRead(began)
}

// applyJobRows applies changed rows of the jobs table to the cell. Cancellations come last, because a read
// of a partition lists them before the records and the cell ignores those of jobs that it does not know.
func (o *Owner) applyJobRows(rows []store.Row) {
	var cancelled []string
	for _, row := range rows {
		id, cancel, ok := celljobs.ParseKey(row.Key)
		if !ok || row.Removed || !o.deps.Jobs.Owns(row.Partition) {
			continue
		}
		if cancel {
			cancelled = append(cancelled, id)
			continue
		}
		r, err := job.DecodeRecord(row.Value)
		if err != nil {
			o.deps.Log.WithField("job", id).WithError(err).Error("job_unreadable")
			continue
		}
		o.cell.Add(r, false)
	}
	for _, id := range cancelled {
		o.Cancelled(id)
	}
	o.wakePlanner()
}

// followRoster applies updates of the roster to the cell and starts a poll loop for each new
// worker.
func (o *Owner) followRoster(ctx context.Context) {
	for {
		o.startPolling(ctx)
		if !sleep(ctx, rosterPollInterval) {
			return
		}
		o.readRoster(ctx)
	}
}

// readRoster reads all pending updates of the roster. With thousands of workers there is more
// than one page of them each time.
func (o *Owner) readRoster(ctx context.Context) {
	for o.readRosterPage(ctx) {
	}
}

// readRosterPage reads one page and reports whether there may be more.
func (o *Owner) readRosterPage(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()
	change, err := o.deps.Roster.Since(callCtx, o.rosterVersion, 0)
	if errors.Is(err, store.ErrHistoryGone) {
		if change, err = o.deps.Roster.All(callCtx); err == nil {
			o.cell.SetRoster(change.Workers, time.Now())
			o.rosterVersion = change.Version
			o.workersAge.markRead(time.Now())
			o.wakePlanner()
		}
		return false
	}
	if err != nil {
		o.deps.Log.WithError(err).Debug("roster_not_read")
		return false
	}
	o.rosterVersion = change.Version
	o.workersAge.markRead(time.Now())
	if len(change.Workers)+len(change.Removed) > 0 {
		o.cell.UpdateRoster(change, time.Now())
		o.wakePlanner()
	}
	return change.More && ctx.Err() == nil
}
