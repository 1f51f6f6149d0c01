package cellowner

import (
	"context"
	"errors"
	"sync"
	"time"

	"gentianstand/internal/cell"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/job"
	"gentianstand/internal/patience"
	"gentianstand/internal/store"
)

// loadTimeout bounds the reading of a cell, also in a store that is slow. Parts of the store may be away for some seconds; another instance
// then fares no better, unless this one is cut off.
const loadTimeout = 10 * time.Second

// Owner owns one cell for one term.
type Owner struct {
	deps  Deps
	cell  *cell.Cell
	claim store.Check
	// term is the fencing token of this ownership.
	term uint64
	// lease is how long an order to a worker reaches.
	lease time.Duration

	// loops are those under way.
	loops   sync.WaitGroup
	kick    chan struct{}
	kickLog chan struct{}
	// kickJobs has the store asked for jobs at once.
	kickJobs chan struct{}
	// stored is closed and replaced after each commit.
	storedMu sync.Mutex
	stored   chan struct{}
	// looking are the workers that have a look loop.
	lookingMu sync.Mutex
	looking   map[string]struct{}
	// jobsVersion and rosterVersion are where the feeds resume.
	jobsVersion   uint64
	rosterVersion uint64
	// jobsNews and workersNews are how old what is known by them is.
	jobsNews, workersNews newsAge
	commitMu              sync.Mutex
	// sequence is the version of the sequence row.
	sequence uint64
	patience *patience.AdaptiveTimeout
	waits    *waits
	planned  planned
}

// New returns an owner whose writes demand that claim, the row of its
// ownership, is unchanged.
func New(s cell.Settings, claim store.Check, deps Deps) *Owner {
	waits := newWaits(deps.Metrics)
	s.ObserveWait = waits.note
	return &Owner{
		waits: waits,
		deps:  deps, claim: claim, term: s.Term, lease: s.Lease, cell: cell.New(s, time.Now(), deps.Log),
		kick: make(chan struct{}, 1), kickLog: make(chan struct{}, 1), kickJobs: make(chan struct{}, 1),
		patience: patience.New(orderPatience), stored: make(chan struct{}), looking: map[string]struct{}{},
	}
}

// Cell returns the cell, for questions about jobs.
func (o *Owner) Cell() *cell.Cell { return o.cell }

// Run loads the cell, calls loaded, and works until ctx ends.
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
	o.loops.Go(func() { o.upkeepLoop(ctx) })
	o.loops.Go(func() { o.condenseLoop(ctx) })
	o.loops.Wait()
	return nil
}

// load reads everything that must last, all at the same time: in a slow store each
// round of reads takes long. The feeds resume from before the reads, so
// nothing that is written meanwhile is missed; progress is written by this owner
// alone.
func (o *Owner) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var kept stored
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
	o.jobsNews.read(time.Now())
	o.workersNews.read(time.Now())
	o.takeIn(kept.jobs, kept.progress)
	for _, row := range kept.progress {
		if row.Key == celljobs.SequenceKey {
			o.sequence = row.Version
		}
	}
	o.cell.SetRoster(kept.roster.Workers, time.Now())
	o.inheritWorkers(kept.progress)
	return nil
}

// inheritWorkers takes in the workers that an earlier owner used and that may be
// missing from the roster.
func (o *Owner) inheritWorkers(progress []store.Row) {
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

// takeIn fills the cell with stored rows.
func (o *Owner) takeIn(rows, progress []store.Row) {
	kept := make(map[string]store.Row, len(progress))
	for _, row := range progress {
		kept[row.Key] = row
	}
	var cancelled []string
	for _, row := range rows {
		id, cancel, ok := celljobs.ParseKey(row.Key)
		if !ok {
			continue
		}
		if cancel {
			cancelled = append(cancelled, id)
			continue
		}
		o.loadJob(id, row, kept[id])
	}
	now := time.Now()
	for _, id := range cancelled {
		o.cell.Cancel(id, now)
	}
}

func (o *Owner) loadJob(id string, row, kept store.Row) {
	r, err := job.DecodeRecord(row.Value)
	if err != nil {
		o.deps.Log.WithField("job", id).WithError(err).Error("job_unreadable")
		return
	}
	var p *job.Progress
	if kept.Version > 0 {
		if p, err = job.DecodeProgress(kept.Value); err != nil {
			o.deps.Log.WithField("job", id).WithError(err).Error("progress_unreadable")
			return
		}
	}
	o.cell.Load(r, p)
}

// Submitted takes in a job that an instance has stored and tells of.
func (o *Owner) Submitted(r *job.Record) {
	o.cell.Add(r, true)
	o.wake()
}

// Cancelled takes in a cancellation that an instance has stored.
func (o *Owner) Cancelled(id string) {
	o.cell.Cancel(id, time.Now())
	o.wake()
	o.wakeCommit()
}

// PreviousOwnerStopped takes in that the earlier owner gives no orders any more.
func (o *Owner) PreviousOwnerStopped(now time.Time) {
	o.cell.PreviousOwnerStopped(now)
	o.wake()
}

// Flush stores what is not stored yet, for a planned hand-over. It must be called after
// Run has ended.
func (o *Owner) Flush(ctx context.Context) {
	o.cell.EndTerm(time.Now())
	for ctx.Err() == nil && o.commitOnce(ctx) == committed {
	}
}

func (o *Owner) wake() { signal(o.kick) }

func (o *Owner) wakeCommit() { signal(o.kickLog) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// wait sleeps and reports whether ctx still goes on.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
