package cell

import (
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/jobmemory"
	"gentianstand/internal/quota"
)

// jobState is the scheduling state of one job.
type jobState struct {
	record *job.Record
	// memoryBytes is the estimated memory of the job.
	memoryBytes int64
	// account is the quota account of the job's workspace, or nil if it has none.
	account *quota.Account
	// stages are those of the occurrences that were created, in their order.
	stages []*stage
	// doneOccurrences are done and not in stages, except those of which a run was reported late.
	doneOccurrences job.OccurrenceSet
	// nextOccurrence is the first occurrence that was not created because of its due time.
	nextOccurrence       int
	occurrencesUpdatedAt time.Time
	// remainingPaths and remainingDepths hold, by step, the ideal time from its start to the end of its
	// occurrence, and the number of stages on the longest chain to it.
	remainingPaths  []time.Duration
	remainingDepths []int
	// overShare is set if the workspace had exceeded its share when the job was accepted.
	overShare bool
	// inherited is set if the job was accepted under a previous owner.
	inherited bool
	// started is set once a task is confirmed to have started.
	started bool
	final   job.State
	endedAt time.Time
	// storedState is the final state once it is stored and may be shown.
	storedState job.State
	// split is set once the progress has exceeded a row. It stays set, so that parts in the store are
	// never outdated.
	split bool
	// parts holds the parts of the progress that the store may have.
	parts map[job.PartID]partContent
	// compacted is set if the record and progress were compacted, or are about to be.
	compacted bool
	// longest is its longest run, for the log.
	longest longestRun
	// criticalPath is the ideal duration of the longest chain of steps.
	criticalPath time.Duration
	// criticalDepth is the largest number of stages on a chain of steps.
	criticalDepth int
}

func (c *Cell) newJobState(r *job.Record) *jobState {
	j := &jobState{record: r, memoryBytes: jobmemory.Of(r)}
	if r.Workspace != "" {
		j.account = c.quotas.Account(r.Workspace)
	}
	j.computeCriticalPath()
	if r.Schedule == nil && len(r.Steps) > 0 {
		c.createOccurrence(j, 0)
	}
	return j
}

// computeCriticalPath computes, for each step, the ideal time from its start to the end of
// the occurrence, and the totals for the job.
func (j *jobState) computeCriticalPath() {
	steps := j.record.Steps
	j.remainingPaths = make([]time.Duration, len(steps))
	j.remainingDepths = make([]int, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		j.remainingPaths[i] += j.ideal(&steps[i])
		j.remainingDepths[i]++
		j.criticalPath = max(j.criticalPath, j.remainingPaths[i])
		j.criticalDepth = max(j.criticalDepth, j.remainingDepths[i])
		for _, before := range steps[i].DependsOn {
			j.remainingPaths[before] = max(j.remainingPaths[before], j.remainingPaths[i])
			j.remainingDepths[before] = max(j.remainingDepths[before], j.remainingDepths[i])
		}
	}
}

// ideal returns how long a step takes if all its tasks start at once.
func (j *jobState) ideal(step *job.Step) time.Duration {
	d := step.Estimate
	if cost := j.record.Advice; cost != nil {
		d += cost.Duration(typicalCallSize)
	}
	return d
}

func (j *jobState) state() job.State {
	switch {
	case j.storedState != "":
		return j.storedState
	case j.started:
		return job.Running
	}
	return job.Queued
}

// age returns the time since the job was accepted, by the wall clock.
func (j *jobState) age(now time.Time) time.Duration {
	return now.Sub(j.record.AcceptedAt)
}

// objective returns the time by which the job should be complete.
func (j *jobState) objective(s *stage, d *durations) time.Time {
	from := j.record.AcceptedAt
	if due := j.record.DueAt(s.id.Occurrence); due.After(from) {
		from = due
	}
	chain := d.conservative(j.record.Queue, j.criticalPath, j.criticalDepth)
	return from.Add(time.Duration(j.record.Stretch*float64(chain)) + j.record.Target)
}
