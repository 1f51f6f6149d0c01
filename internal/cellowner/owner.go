package cellowner

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"gentianstand/internal/adaptivetimeout"
	"gentianstand/internal/cell"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/job"
	"gentianstand/internal/store"
)

// loadTimeout bounds the load of a cell, in a slow store too. Parts of the store may be
// unavailable for some seconds; a takeover by another instance then does not help, unless only
// this instance is cut off.
const loadTimeout = 10 * time.Second

// Owner owns one cell for one term.
type Owner struct {
	deps  Deps
	cell  *cell.Cell
	claim store.Check
	// term is the fencing token of this ownership.
	term uint64
	// lease is the duration by which each poll extends the lease of a worker.
	lease time.Duration

	// loops are the loops that are running.
	loops        sync.WaitGroup
	planSignal   chan struct{}
	commitSignal chan struct{}
	// jobsSignal triggers an immediate read of the jobs.
	jobsSignal chan struct{}
	// commitDone is closed and replaced after each commit.
	commitDoneMu sync.Mutex
	commitDone   chan struct{}
	// polled holds the workers that have a poll loop.
	polledMu sync.Mutex
	polled   map[string]struct{}
	// jobsVersion and rosterVersion are the versions from which the feeds resume.
	jobsVersion   uint64
	rosterVersion uint64
	// jobsAge and workersAge track the age of what is known of the jobs and the workers.
	jobsAge, workersAge updateAge
	commitMu            sync.Mutex
	// sequence is the version of the sequence row.
	sequence uint64
	// rowBytes is the maximum size of a value in the store.
	rowBytes     int
	orderTimeout *adaptivetimeout.Timeout
	waitStats    *waitStats
	planStats    planStats
	// lastStats are the counts of the last summary. Only the planning loop uses them.
	lastStats cell.Stats
}

// New returns an owner. Its writes require that claim, the row of its ownership, is unchanged.
func New(s cell.Settings, claim store.Check, deps Deps) *Owner {
	waits := newWaitStats(deps.Metrics)
	s.MaxCommitEntries = maxCommitPuts
	s.MaxCommitBytes = maxCommitBytes
	s.RowBytes = cmp.Or(s.RowBytes, store.DefaultRowBytes)
	s.ObserveWait = waits.record
	s.ObserveHeldBack = func(d time.Duration) { deps.Metrics.HeldBackSeconds.Update(d.Seconds()) }
	return &Owner{
		waitStats: waits, rowBytes: s.RowBytes,
		deps: deps, claim: claim, term: s.Term, lease: s.Lease, cell: cell.New(s, time.Now(), deps.Log),
		planSignal: make(chan struct{}, 1), commitSignal: make(chan struct{}, 1), jobsSignal: make(chan struct{}, 1),
		orderTimeout: adaptivetimeout.New(orderTimeoutSettings), commitDone: make(chan struct{}), polled: map[string]struct{}{},
	}
}

// Cell returns the cell, for queries about jobs.
func (o *Owner) Cell() *cell.Cell { return o.cell }

// Run loads the cell, calls loaded, and runs the loops until ctx ends.
func (o *Owner) Run(ctx context.Context, loaded func()) error {
	began := time.Now()
	if err := o.load(ctx); err != nil {
		return err
	}
	o.deps.Metrics.TakeOverSeconds.UpdateDuration(began)
	o.deps.Log.WithField("took_ms", time.Since(began).Milliseconds()).Info("cell_loaded")
	loaded()
	o.loops.Go(func() { o.planLoop(ctx) })
	o.loops.Go(func() { o.commitLoop(ctx) })
	o.loops.Go(func() { o.followJobs(ctx) })
	o.loops.Go(func() { o.followRoster(ctx) })
	o.loops.Go(func() { o.maintenanceLoop(ctx) })
	o.loops.Go(func() { o.compactLoop(ctx) })
	o.loops.Wait()
	return nil
}

// load reads all persistent state at the same time, because in a slow store each round of reads
// takes long. The feeds resume from versions before the reads, so concurrent writes are not
// missed. Progress is written by this owner alone.
func (o *Owner) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var kept storedState
	var reads sync.WaitGroup
	reads.Go(func() { kept.readProgress(ctx, o.deps) })
	reads.Go(func() { kept.readJobs(ctx, o.deps) })
	reads.Go(func() { kept.readRoster(ctx, o.deps) })
	reads.Wait()
	if err := errors.Join(kept.progressErr, kept.jobsErr, kept.rosterErr); err != nil {
		return err
	}
	o.jobsVersion = kept.jobsVersion
	o.rosterVersion = kept.roster.Version
	o.jobsAge.markRead(time.Now())
	o.workersAge.markRead(time.Now())
	o.loadJobs(kept.jobs, kept.progress)
	for _, row := range kept.progress {
		if row.Key == celljobs.SequenceKey {
			o.sequence = row.Version
		}
	}
	o.cell.SetRoster(kept.roster.Workers, time.Now())
	o.loadKnownWorkers(kept.progress)
	return nil
}

// loadKnownWorkers adds the workers that a previous owner used and that may be missing from the
// roster.
func (o *Owner) loadKnownWorkers(progress []store.Row) {
	now := time.Now()
	all := true
	for _, row := range progress {
		chunk, ok := celljobs.ParseWorkersKey(row.Key)
		if !ok {
			continue
		}
		workers, err := celljobs.DecodeWorkers(row.Value)
		if err != nil {
			o.deps.Log.WithField("chunk", chunk).WithError(err).Error("workers_unreadable")
			all = false
		}
		o.cell.LoadWorkers(workers, now)
	}
	if all {
		o.cell.WorkersLoaded()
	}
}

// loadJobs fills the cell with the stored jobs, their progress and their cancellations.
func (o *Owner) loadJobs(rows, progress []store.Row) {
	kept := make(map[string]store.Row, len(progress))
	parts := map[string][]store.Row{}
	var cancelled []string
	for _, row := range progress {
		kept[row.Key] = row
		if id, _, ok := celljobs.ParsePartKey(row.Key); ok {
			parts[id] = append(parts[id], row)
		}
		if id, ok := celljobs.ParseMarkKey(row.Key); ok {
			cancelled = append(cancelled, id)
		}
	}
	for _, row := range rows {
		id, cancel, ok := celljobs.ParseKey(row.Key)
		if !ok {
			continue
		}
		if cancel {
			cancelled = append(cancelled, id)
			continue
		}
		o.loadJob(id, row, celljobs.StoredProgress{Main: kept[id], Parts: parts[id]})
	}
	now := time.Now()
	for _, id := range cancelled {
		o.cell.Cancel(id, now)
	}
}

// loadJob adds a stored job with its progress to the cell.
func (o *Owner) loadJob(id string, row store.Row, kept celljobs.StoredProgress) {
	r, err := job.DecodeRecord(row.Value)
	if err != nil {
		o.deps.Log.WithField("job", id).WithError(err).Error("job_unreadable")
		return
	}
	p, err := kept.Decode()
	if err != nil {
		o.deps.Log.WithField("job", id).WithError(err).Error("progress_unreadable")
		return
	}
	o.cell.Load(r, p)
}

// Submitted adds a job that an instance has stored and reported to this owner.
func (o *Owner) Submitted(r *job.Record) {
	o.cell.Add(r, true)
	o.wakePlanner()
}

// Cancelled applies a cancellation that an instance has stored.
func (o *Owner) Cancelled(id string) {
	o.cell.Cancel(id, time.Now())
	o.wakePlanner()
	o.wakeCommitter()
}

// PreviousOwnerStopped records that the previous owner sends no more orders.
func (o *Owner) PreviousOwnerStopped(now time.Time) {
	o.cell.PreviousOwnerStopped(now)
	o.wakePlanner()
}

// PreviousOwnerStopsBy records that the previous owner sends no more orders after the given time.
func (o *Owner) PreviousOwnerStopsBy(limit time.Time) {
	o.cell.PreviousOwnerStopsBy(limit)
	o.wakePlanner()
}

// Flush stores all progress that is not stored yet, for a planned hand-over. It must be called
// after Run has returned.
func (o *Owner) Flush(ctx context.Context) {
	o.cell.EndTerm(time.Now())
	for ctx.Err() == nil && o.commitOnce(ctx) == committed {
	}
}

func (o *Owner) wakePlanner() { signal(o.planSignal) }

func (o *Owner) wakeCommitter() { signal(o.commitSignal) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
