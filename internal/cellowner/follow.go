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
	// jobsPeriod is how often the store is asked for jobs whose accepting
	// instance could not tell this owner.
	jobsPeriod = 500 * time.Millisecond
	// rosterPeriod is how often the roster is read: a worker that drains must get
	// nothing new after 2 s.
	rosterPeriod = 400 * time.Millisecond
	// readTimeout bounds one read; a slow store needs some 250 ms.
	readTimeout = time.Second
	// newsTimeout bounds one read of what has changed. The store's client gives it up
	// earlier if nothing comes; a full page takes a small link seconds.
	newsTimeout = 4 * time.Second
	// reloadTimeout bounds a read of all jobs: as much as a new owner reads.
	reloadTimeout = loadTimeout
)

// followJobs takes in jobs and cancellations from the store.
func (o *Owner) followJobs(ctx context.Context) {
	for ; ctx.Err() == nil; o.awaitJobs(ctx) {
		callCtx, cancel := context.WithTimeout(ctx, newsTimeout)
		page, err := o.deps.Store.Changes(callCtx, celljobs.TableJobs, o.jobsVersion, 0)
		cancel()
		switch {
		case errors.Is(err, store.ErrHistoryGone):
			o.reloadJobs(ctx)
		case err != nil:
			o.deps.Log.WithError(err).Debug("jobs_not_read")
		case len(page.Rows) > 0 && !o.claimHolds(ctx):
			// What was stored after another owner read the store is that owner's.
		default:
			o.jobsVersion = page.Version
			o.jobsNews.read(time.Now())
			o.news(page.Rows)
		}
		o.findMissing(ctx)
	}
}

// awaitJobs waits for the next time to read, or until a job is missing.
func (o *Owner) awaitJobs(ctx context.Context) {
	timer := time.NewTimer(jobsPeriod)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-o.kickJobs:
	}
}

// claimHolds reads the claim, and gives the ownership up if it has changed.
func (o *Owner) claimHolds(ctx context.Context) bool {
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

// findMissing looks in the store for jobs that workers report and the cell does
// not know.
func (o *Owner) findMissing(ctx context.Context) {
	for _, id := range o.cell.UnknownJobs() {
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		row, err := o.deps.Store.Get(callCtx, celljobs.TableJobs, o.deps.Jobs.RecordPartition(id), celljobs.JobKey(id))
		var kept store.Row
		if err == nil {
			kept, err = o.deps.Store.Get(callCtx, celljobs.TableProgress, o.deps.Jobs.ProgressPartition(), id)
		}
		cancel()
		switch {
		case err != nil:
			o.deps.Log.WithField("job", id).WithError(err).Info("missing_job_not_read")
			return
		case row.Version == 0:
			o.deps.Log.WithField("job", id).Warn("reported_job_is_nobodys")
			o.cell.MarkAbsent(id)
		default:
			o.deps.Log.WithField("job", id).Info("missing_job_loaded")
			o.loadJob(id, row, kept)
		}
		o.wake()
	}
}

func (o *Owner) reloadJobs(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, reloadTimeout)
	defer cancel()
	rows, version, err := o.deps.Jobs.Records(callCtx)
	if err != nil {
		o.deps.Log.WithError(err).Info("jobs_not_reloaded")
		return
	}
	o.jobsVersion = version
	o.jobsNews.read(time.Now())
	o.news(rows)
}

// news takes in changed rows of the table of jobs.
func (o *Owner) news(rows []store.Row) {
	for _, row := range rows {
		id, cancel, ok := celljobs.ParseKey(row.Key)
		if !ok || row.Removed || !o.deps.Jobs.Owns(row.Partition) {
			continue
		}
		if cancel {
			o.Cancelled(id)
			continue
		}
		r, err := job.DecodeRecord(row.Value)
		if err != nil {
			o.deps.Log.WithField("job", id).WithError(err).Error("job_unreadable")
			continue
		}
		o.cell.Add(r, false)
	}
	o.wake()
}

// followRoster takes in workers that come, drain and go.
func (o *Owner) followRoster(ctx context.Context) {
	for {
		o.startLooking(ctx)
		if !wait(ctx, rosterPeriod) {
			return
		}
		o.readRoster(ctx)
	}
}

// readRoster reads the news about workers to its end: with thousands of workers
// there is more than one page of it each time.
func (o *Owner) readRoster(ctx context.Context) {
	for o.readRosterPage(ctx) {
	}
}

// readRosterPage reads one page and reports whether there may be more.
func (o *Owner) readRosterPage(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, newsTimeout)
	defer cancel()
	change, err := o.deps.Roster.Since(callCtx, o.rosterVersion, 0)
	if errors.Is(err, store.ErrHistoryGone) {
		if change, err = o.deps.Roster.All(callCtx); err == nil {
			o.cell.SetRoster(change.Workers, time.Now())
			o.rosterVersion = change.Version
			o.workersNews.read(time.Now())
			o.wake()
		}
		return false
	}
	if err != nil {
		o.deps.Log.WithError(err).Debug("roster_not_read")
		return false
	}
	o.rosterVersion = change.Version
	o.workersNews.read(time.Now())
	if len(change.Workers)+len(change.Removed) > 0 {
		o.cell.UpdateRoster(change, time.Now())
		o.wake()
	}
	return change.More && ctx.Err() == nil
}
