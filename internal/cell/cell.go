package cell

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/admission"
	"gentianstand/internal/job"
	"gentianstand/internal/quota"
	"gentianstand/internal/runner"
)

// Cell is the state of one cell under its own lock. All methods are safe for
// concurrent use; `now` must come from one steady clock.
type Cell struct {
	settings Settings
	log      logrus.FieldLogger

	mu        sync.Mutex
	startedAt time.Time
	// lastWatchAt is when the runs were last looked through.
	lastWatchAt time.Time
	// lastParkAt is when workers were last parked, parked how many are.
	lastParkAt  time.Time
	parkedCount int
	jobs        map[string]*jobState
	active      map[string]*jobState
	workers     map[string]*worker
	// waiting are the stages with tasks to place, in no order.
	waiting map[*stage]struct{}
	orders  []Order
	// pass counts the planning passes; usableBuffer is used again by each of them.
	pass      uint64
	usableBuf []*worker
	// dirtyJobs are the jobs whose progress is ahead of the store.
	dirtyJobs map[*jobState]struct{}
	// recovering says that some worker of the time before this ownership has
	// neither reported nor lapsed, so tasks of older jobs may run unseen there.
	recovering bool
	// workersLoaded says that all workers on which an earlier owner can have started
	// runs are known.
	workersLoaded bool
	// previousOwnerStoppedAt is when it was learned that the earlier owner gives no orders
	// any more, if Settings did not tell.
	previousOwnerStoppedAt time.Time
	// endedAt is when this owner gave its last order, or zero.
	endedAt time.Time
	// fenced says that the earlier owner can start nothing any more.
	fenced    bool
	durations durations
	// quotas are the books of what workspaces have running.
	quotas *quota.Ledger
	// unmeteredJobs are jobs that were not measured against their workspace's share yet.
	unmeteredJobs []*jobState
	rosterUpdates rosterUpdates
	// adviceCalls are those to the adviser that are under way.
	adviceCalls adviceCalls
	dirtyChunks dirtyChunks
	// endedIncarnations are the incarnations that have ended and that the roster may still list, by id.
	endedIncarnations map[string]runner.Incarnation
	// unknownJobs are jobs that workers report and the cell does not know; absent are
	// those of them that the store does not have either.
	unknownJobs map[string]struct{}
	absentJobs  map[string]struct{}
	// lostWorkers are, by id, the workers that fell silent, until it is known what became of
	// them, and silences when they did. isolated are the runs beside which nothing of
	// another job is started.
	lostWorkers    map[string]*lostWorker
	unresponsiveAt unresponsiveTimes
	// ownerIsolated says that this owner reaches few workers, so that their silence tells
	// nothing of them.
	ownerIsolated bool
	isolatedRuns  map[*attempt]struct{}
	stats         Stats
	// backlogs are those worked out at backlogsAt.
	backlogs   []admission.Backlog
	backlogsAt time.Time
}

// New returns an empty cell that began its ownership at now.
func New(s Settings, now time.Time, log logrus.FieldLogger) *Cell {
	return &Cell{
		settings: s, log: log, startedAt: now, recovering: true,
		jobs: map[string]*jobState{}, active: map[string]*jobState{},
		workers: map[string]*worker{}, waiting: map[*stage]struct{}{}, dirtyJobs: map[*jobState]struct{}{},
		dirtyChunks: newDirtyChunks(), adviceCalls: adviceCalls{}, endedIncarnations: map[string]runner.Incarnation{}, unknownJobs: map[string]struct{}{}, absentJobs: map[string]struct{}{},
		lostWorkers: map[string]*lostWorker{}, isolatedRuns: map[*attempt]struct{}{},
		durations: durations{mean: map[string]time.Duration{}}, quotas: quota.NewLedger(),
	}
}

// Load takes in a job that an earlier owner may have begun. progress is nil if
// none was stored.
func (c *Cell) Load(r *job.Record, p *job.Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Withdrawn || c.jobs[r.ID] != nil || r.Ended && (p == nil || p.Final == "") {
		return
	}
	j := c.newJobState(r)
	j.inherited, j.compacted = true, r.Ended
	if p != nil {
		j.restore(p, c.startedAt)
	}
	c.insertJob(j)
}

// Add takes in a newly accepted job. A job that is already known is ignored:
// the same news may come from the accepting instance and from the store. told
// says that the accepting instance told this owner; then it told no other one.
// News from the store may have been told to an earlier owner that still acts.
func (c *Cell) Add(r *job.Record, direct bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Withdrawn || r.Ended || c.jobs[r.ID] != nil {
		return
	}
	c.log.WithFields(logrus.Fields{"job": r.ID, "queue": r.Queue, "workspace": r.Workspace, "steps": len(r.Steps)}).Info("job_added")
	j := c.newJobState(r)
	_, reported := c.unknownJobs[r.ID]
	j.inherited = c.recovering && (!direct || reported)
	c.insertJob(j)
}

func (c *Cell) insertJob(j *jobState) {
	c.jobs[j.record.ID] = j
	delete(c.unknownJobs, j.record.ID)
	if j.final != "" {
		return
	}
	c.active[j.record.ID] = j
	if j.account != nil && c.enabled(FairShares) {
		c.unmeteredJobs = append(c.unmeteredJobs, j)
	}
	for _, s := range j.stages {
		c.updateWaiting(s)
	}
}

// updateWaiting puts a stage among those to place if it has tasks to place.
func (c *Cell) updateWaiting(s *stage) {
	if s.job.final == "" && len(s.idle) > 0 && s.predecessorsDone() {
		c.waiting[s] = struct{}{}
		return
	}
	delete(c.waiting, s)
}

// Cancel ends a job by its caller's wish and reports whether it is known.
// Tasks are stopped with the next Plan.
func (c *Cell) Cancel(id string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		return false
	}
	if j.final == "" {
		c.endJob(j, job.Cancelled, now)
		// The cancellation is stored before this call, so it may be shown.
		j.storedState = job.Cancelled
	}
	return true
}

// Status returns what to tell a caller of a job; ok is false if it is unknown.
// A final state is shown only after it was stored, so that it cannot change
// when this owner is lost.
func (c *Cell) Status(id string) (status job.Status, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		return job.Status{}, false
	}
	return job.Status{State: j.state(), Workspace: j.record.Workspace}, true
}

// Waiting returns how many accepted jobs of a queue have not started a task.
func (c *Cell) Waiting(queue string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, j := range c.active {
		if j.record.Queue == queue && !j.started {
			n++
		}
	}
	return n
}

// endJob gives a job its final state and stops what runs of it.
func (c *Cell) endJob(j *jobState, state job.State, now time.Time) {
	j.final = state
	j.endedAt = now
	delete(c.active, j.record.ID)
	c.dirtyJobs[j] = struct{}{}
	for _, s := range j.stages {
		delete(c.waiting, s)
		for _, t := range s.tasks {
			for _, a := range t.attempts {
				c.stop(a, "job_"+string(state), now)
			}
		}
	}
	c.log.WithFields(logrus.Fields{"job": j.record.ID, "queue": j.record.Queue, "state": state,
		"took_ms": j.age(now).Milliseconds()}).Info("job_ended")
}
