package cell

import (
	"time"

	"gentianstand/internal/job"
)

// CompactedJob is the reduced form of a job that ended some time ago.
type CompactedJob struct {
	Record   *job.Record
	Progress *job.Progress
	state    *jobState
}

// Compact reduces jobs that ended at least after ago and have no run left, and returns at most
// limit of them to be stored. Their text, steps and tasks are dropped from memory. Ended jobs
// are kept for minutes, and a new owner reads all of them over a possibly narrow link. While runs of a
// previous owner may continue unreported, its jobs are not reduced: the quotas count their tasks even
// if they have ended, and the time of their end comes from the clock of that owner.
func (c *Cell) Compact(after time.Duration, now time.Time, limit int) []CompactedJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []CompactedJob
	for _, j := range c.jobs {
		if len(list) == limit {
			break
		}
		if c.recovering && j.inherited {
			continue
		}
		if j.storedState == "" || j.compacted || now.Sub(j.endedAt) < after || !j.idle() {
			continue
		}
		if _, dirty := c.dirtyJobs[j]; dirty {
			continue
		}
		j.compacted = true
		j.record = job.EndedRecord(j.record)
		j.stages, j.doneOccurrences = nil, nil
		list = append(list, CompactedJob{Record: j.record, Progress: j.progress(), state: j})
	}
	return list
}

// CompactFailed handles jobs whose compacted form was not stored.
func (c *Cell) CompactFailed(list []CompactedJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range list {
		e.state.compacted = false
	}
}
