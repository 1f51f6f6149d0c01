package cell

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/admission"
	"gentianstand/internal/advicebudget"
	"gentianstand/internal/job"
	"gentianstand/internal/preemption"
	"gentianstand/internal/quota"
	"gentianstand/internal/runner"
	"gentianstand/internal/slack"
	"gentianstand/internal/workerspeed"
	"gentianstand/internal/workorder"
)

// Cell is the scheduling state of one cell, guarded by its own lock. All methods are safe for
// concurrent use. The `now` arguments must come from one monotonic clock.
type Cell struct {
	settings Settings
	log      logrus.FieldLogger

	mu        sync.Mutex
	startedAt time.Time
	// lastWatchAt is when the runs were last checked by watch.
	lastWatchAt time.Time
	// lastParkAt is when workers were last parked, and parkedCount is the number of parked
	// workers.
	lastParkAt  time.Time
	parkedCount int
	jobs        map[string]*jobState
	active      map[string]*jobState
	// scheduled are the active jobs with a schedule.
	scheduled map[*jobState]struct{}
	workers   map[string]*worker
	// waiting holds the stages with tasks to place, in no order.
	waiting map[*stage]struct{}
	orders  []Order
	// placings counts the passes over the waiting stages, also those in which none waited.
	placings uint64
	// pass counts planning passes. usableBuf is reused by each pass.
	pass      uint64
	usableBuf []*worker
	// dirtyJobs are the jobs with progress that is not stored yet.
	dirtyJobs map[*jobState]struct{}
	// rejectedRows are the values that the store does not take.
	rejectedRows rejectedRows
	// recovering is set while some worker known from before this ownership has neither
	// reported nor lost its lease. Tasks of older jobs may run there without being reported.
	recovering bool
	// workersLoaded is set once all workers are known on which a previous owner can have
	// started runs.
	workersLoaded bool
	// previousOwnerStoppedAt is when this owner learned that the previous owner sends no more
	// orders. It is zero if that is unknown, or was known from Settings.
	previousOwnerStoppedAt time.Time
	// previousOwnerLimit is when the previous owner gives its last order at the latest, if this owner
	// has learned that after the takeover.
	previousOwnerLimit time.Time
	// accountedTerm is the latest term, as far as is known, of an owner that had accounted for all runs
	// of the owners before it. The first owner had none before it.
	accountedTerm uint64
	// endedAt is when this owner stopped sending orders, or zero.
	endedAt time.Time
	// previousOwnerFenced is set once the previous owner can no longer start anything.
	previousOwnerFenced bool
	// removedAt is when expired jobs were removed, for those that a read of the store may still list.
	removedAt map[string]time.Time
	// jobsReadAt is when the last completed read of the stored jobs began.
	jobsReadAt time.Time
	durations  durations
	// speeds are the workers' speeds.
	speeds      *workerspeed.Model
	speedChunks speedChunks
	// factorOf replaces speeds in tests if it is not nil.
	factorOf func(*worker) float64
	// fleets describes the speeds of the workers by service.
	fleets map[string]*slack.Fleet
	// speedsDiffer is set if workers of any service differ in speed.
	speedsDiffer bool
	// releases are the expected ends of runs, collected at releasesAt.
	releases   slack.Releases
	releasesAt time.Time
	// order is the order in which waiting stages get capacity.
	order workorder.Order
	// stopTimes estimates how long stops take.
	stopTimes preemption.StopTimes
	// victimsSearchedAt is when victims were last searched for.
	victimsSearchedAt time.Time
	// urgentUse was last computed at urgentUseAt.
	urgentUse   map[string]int64
	urgentUseAt time.Time
	// quotas accounts for the running tasks of each workspace.
	quotas *quota.Ledger
	// accountsCounted is the number of workspaces at the last countUnconfirmed.
	accountsCounted int
	// unmeteredJobs are the jobs not yet measured against the share of their workspace.
	unmeteredJobs []*jobState
	rosterUpdates rosterUpdates
	// adviceCalls are the pending adviser calls.
	adviceCalls adviceCalls
	budget      adviceBudget
	// candidateBuf is reused by each scan of the workers for a call.
	candidateBuf []advicebudget.Candidate
	// issued holds the adviser's answers whose tickets have not expired, oldest first.
	issued      []issuedTickets
	dirtyChunks dirtyChunks
	// endedIncarnations holds, by worker id, incarnations that have ended and that the roster
	// may still list.
	endedIncarnations map[string]runner.Incarnation
	// unknownJobs are the jobs that workers report and the cell does not know. absentJobs are
	// those that the store does not have either.
	unknownJobs map[string]struct{}
	absentJobs  map[string]struct{}
	// lostWorkers are, by id, the workers that became unresponsive and whose fate is not known
	// yet. unresponsiveAt records when that happened. No task of another job is started next
	// to one of the isolatedRuns.
	lostWorkers    map[string]*lostWorker
	unresponsiveAt unresponsiveTimes
	unexplained    unexplainedCrashes
	// restoredCrashes are the workers that have crashed according to what was loaded. They are
	// handled once all workers are loaded.
	restoredCrashes []string
	// ownerIsolated is set while this owner reaches few workers, so that an unresponsive
	// worker is no sign of a crash.
	ownerIsolated bool
	isolatedRuns  map[*attempt]struct{}
	stats         Stats
	// idleMeteredAt is when free processors were last added to the stats.
	idleMeteredAt time.Time
	// admissionView was computed at admissionViewAt.
	admissionView   admission.View
	admissionViewAt time.Time
	// arrivals counts the jobs that this owner has learned of.
	arrivals uint64
	shares   shareMeter
}

// New returns an empty cell whose ownership starts at now.
func New(s Settings, now time.Time, log logrus.FieldLogger) *Cell {
	return &Cell{
		settings: s, log: log, startedAt: now, recovering: true, accountedTerm: firstTerm,
		jobs: map[string]*jobState{}, active: map[string]*jobState{}, scheduled: map[*jobState]struct{}{},
		removedAt: map[string]time.Time{}, workers: map[string]*worker{}, waiting: map[*stage]struct{}{}, dirtyJobs: map[*jobState]struct{}{},
		dirtyChunks: newDirtyChunks(), rejectedRows: newRejectedRows(), adviceCalls: adviceCalls{}, endedIncarnations: map[string]runner.Incarnation{}, unknownJobs: map[string]struct{}{}, absentJobs: map[string]struct{}{},
		lostWorkers: map[string]*lostWorker{}, isolatedRuns: map[*attempt]struct{}{},
		durations: durations{mean: map[string]time.Duration{}}, quotas: quota.NewLedger(), speeds: workerspeed.New(), fleets: map[string]*slack.Fleet{}, stats: Stats{PreemptionsRefused: map[preemption.Refusal]uint64{}}, order: workorder.Usual, budget: newAdviceBudget(),
	}
}

// Load adds a job that a previous owner may have started. p is nil if no progress was stored.
func (c *Cell) Load(r *job.Record, p *job.Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Withdrawn || c.jobs[r.ID] != nil || c.wasRemoved(r.ID) || r.Ended && (p == nil || p.Final == "") {
		return
	}
	j := c.newJobState(r)
	j.inherited, j.compacted = true, r.Ended
	if p != nil {
		c.restore(j, p, c.startedAt)
	}
	if len(j.parts) > 0 && (!j.split || j.final != "") {
		// The parts are to be removed: an earlier version has replaced the row, or the job has ended.
		c.dirtyJobs[j] = struct{}{}
	}
	c.insertJob(j)
}

// Add adds a newly accepted job. A known job is ignored, as the same update may arrive from
// the accepting instance and from the store. direct is set if the accepting instance notified
// this owner itself; it then notified no other owner. An update from the store may also have
// reached a previous owner that is still active.
func (c *Cell) Add(r *job.Record, direct bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Withdrawn || r.Ended || c.jobs[r.ID] != nil || c.wasRemoved(r.ID) {
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
	c.arrivals++
	if c.mayUseShare(j) {
		c.unmeteredJobs = append(c.unmeteredJobs, j)
	}
	if j.final != "" {
		return
	}
	c.active[j.record.ID] = j
	if j.record.Schedule != nil {
		c.scheduled[j] = struct{}{}
	}
	for _, s := range j.stages {
		c.updateWaiting(s)
	}
}

// updateWaiting adds a stage to the waiting stages if it has tasks to place, and removes it
// otherwise.
func (c *Cell) updateWaiting(s *stage) {
	if s.job.final == "" && len(s.idle) > 0 && s.predecessorsDone() {
		c.waiting[s] = struct{}{}
		return
	}
	delete(c.waiting, s)
}

// Cancel ends a job at its caller's request and reports whether the job is known. The stop
// orders for its tasks are returned by the next Plan. The job is shown as cancelled only once that is
// stored: this owner may be superseded, and the next one may have stored that the job is completed.
func (c *Cell) Cancel(id string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		return false
	}
	if j.final == "" {
		c.endJob(j, job.Cancelled, now)
	}
	return true
}

// Status returns a job's status for its caller; ok is false if the job is unknown. A final
// state is returned only once it is stored, so that it cannot change when this owner fails.
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

// endJob sets a job's final state and stops its runs.
func (c *Cell) endJob(j *jobState, state job.State, now time.Time) {
	j.final = state
	j.endedAt = now
	delete(c.active, j.record.ID)
	delete(c.scheduled, j)
	c.dirtyJobs[j] = struct{}{}
	for _, s := range j.stages {
		delete(c.waiting, s)
		s.speedSiblings = workerspeed.Siblings{}
		for _, t := range s.tasks {
			for _, a := range t.attempts {
				c.stop(a, "job_"+string(state), now)
			}
		}
	}
	c.log.WithFields(logrus.Fields{"job": j.record.ID, "queue": j.record.Queue, "state": state,
		"took_ms": j.age(now).Milliseconds()}).WithFields(j.longestFields(now)).Info("job_ended")
}
