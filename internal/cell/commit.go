package cell

import (
	"cmp"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/job"
)

// Commit is a batch of job progress and worker chunks to store in one transaction.
type Commit struct {
	Items []CommitItem
	// Chunks are those chunks of the list of known workers whose content has changed.
	Chunks []WorkerChunk
	// acks holds, for each worker incarnation, the highest sequence number of the ends that may
	// be acknowledged once the transaction is stored.
	acks map[*incarnationState]uint64
}

// Split returns commits of one job or chunk each that store the same. They acknowledge no ends, which
// the next commit does.
func (c *Commit) Split() []*Commit {
	units := make([]*Commit, 0, len(c.Items)+len(c.Chunks))
	for i := range c.Items {
		units = append(units, &Commit{Items: c.Items[i : i+1]})
	}
	for i := range c.Chunks {
		units = append(units, &Commit{Chunks: c.Chunks[i : i+1]})
	}
	return units
}

// NextCommit returns the next batch to store, with at most limit jobs and chunks, or nil if
// everything is stored that can be. There must be room for some jobs beside all chunks. Only one commit
// may be in progress at a time.
func (c *Cell) NextCommit(limit int) *Commit {
	c.mu.Lock()
	defer c.mu.Unlock()
	if commit := c.nextRetry(); commit != nil {
		return commit
	}
	if c.pendingJobs() == 0 && len(c.pendingChunks()) == 0 {
		c.acknowledgeAll()
		return nil
	}
	c.addSpeedChunk()
	commit := &Commit{acks: map[*incarnationState]uint64{}}
	room := c.newRoom(limit)
	chunks := c.fittingChunks(&room)
	c.takeDirty(commit, &room, true)
	c.takeDirty(commit, &room, false)
	commit.Chunks = c.takeChunks(chunks)
	if c.pendingJobs() > 0 || !c.previousOwnerFenced {
		return commit
	}
	// No dirty job is left, so this commit and those before it cover all ends seen so far.
	for _, w := range c.workers {
		commit.acks[w.incarnationState] = c.storedEnd(w)
	}
	return commit
}

// takeDirty moves dirty jobs into a commit while there is room: those that have ended, or the others.
// With a slow store all jobs are dirty all the time, and final states should become visible first.
func (c *Cell) takeDirty(commit *Commit, room *commitRoom, ended bool) {
	for j := range c.dirtyJobs {
		if room.items <= 0 {
			return
		}
		if (j.final != "") != ended || c.isRejected(j) {
			continue
		}
		if !c.takeJob(commit, j, room) {
			return
		}
	}
}

// takeJob moves a job into a commit, and reports whether all of it fits. A job that does not fit entirely
// stays dirty. Its row comes before its parts, or with them, because a part omits tasks that the row
// lists as done.
func (c *Cell) takeJob(commit *Commit, j *jobState, room *commitRoom) bool {
	item := CommitItem{Job: j.record.ID, Progress: j.progress(), FirstEnd: j.endsFirst(), jobState: j}
	if !j.split && c.exceedsRow(item.Progress) {
		j.split = true
		item.Progress = j.progress()
	}
	size := item.Progress.EncodedSize()
	if !room.fits(item.entries(), size) {
		return false
	}
	room.take(item.entries(), size)
	room.items--
	all := true
	if j.split || len(j.parts) > 0 {
		item.Parts, all = c.changedParts(j, room)
	}
	if all {
		delete(c.dirtyJobs, j)
	}
	commit.Items = append(commit.Items, item)
	return all
}

// endsFirst reports whether the job is completed or failed and not known to be stored as ended.
func (j *jobState) endsFirst() bool {
	return j.final != "" && j.final != job.Cancelled && j.storedState == ""
}

// acknowledgeAll acknowledges all ends seen so far, as all of them are stored. It does nothing
// while a superseded owner may still act. Otherwise, if a worker crashed after the
// acknowledgement of an end, the superseded owner could treat the run as lost and restart a
// task that has succeeded.
func (c *Cell) acknowledgeAll() {
	if !c.previousOwnerFenced {
		return
	}
	for _, w := range c.workers {
		w.ackedEnd = max(w.ackedEnd, c.storedEnd(w))
	}
}

// Committed handles a commit that was stored.
func (c *Cell) Committed(commit *Commit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range commit.Items {
		if item.Progress.Final != "" {
			item.jobState.storedState = item.Progress.Final
		}
		item.jobState.partsStored(item.Parts)
	}
	c.chunksStored(commit.Chunks)
	for incarnation, seen := range commit.acks {
		incarnation.ackedEnd = max(incarnation.ackedEnd, seen)
	}
}

// CommitFailed handles a commit that failed or whose outcome is unknown. Its jobs and chunks
// are stored again.
func (c *Cell) CommitFailed(commit *Commit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, chunk := range commit.Chunks {
		c.dirtyChunks.numbers[chunk.Number] = struct{}{}
	}
	for _, item := range commit.Items {
		item.jobState.partsNotStored(item.Parts)
		c.dirtyJobs[item.jobState] = struct{}{}
	}
}

// ResolveEnd sets the final state of a job whose end could not be stored because the job has a mark.
// stored is the final state that the store has, or empty if it has none: the job is then cancelled.
func (c *Cell) ResolveEnd(id string, stored job.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil || !j.endsFirst() {
		return
	}
	j.final = cmp.Or(stored, job.Cancelled)
	j.storedState = stored
	c.log.WithFields(logrus.Fields{"job": id, "state": j.final, "stored": stored != ""}).Info("job_end_resolved")
}

// Expired returns the ids of at most limit jobs that ended more than keep ago, whose rows can be
// removed. The parts of their progress are removed earlier, by a commit after their end. Each must be passed to Remove once its record is removed; until then a read of all jobs
// would take it for a new job.
func (c *Cell) Expired(keep time.Duration, now time.Time, limit int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, j := range c.jobs {
		if len(ids) == limit {
			break
		}
		if j.storedState != "" && now.Sub(j.endedAt) > keep && j.idle() && len(j.parts) == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Remove removes from memory an expired job whose record was removed from the store by now. A read of
// the store that began before may still list the job, which is ignored until JobsRead is called for a
// later one.
func (c *Cell) Remove(id string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.jobs, id)
	c.removedAt[id] = now
}

// wasRemoved reports whether a job was removed and may still be listed by a read of the store.
func (c *Cell) wasRemoved(id string) bool {
	_, ok := c.removedAt[id]
	return ok
}

// forgetRemoved forgets the removals before a read of the store began.
func (c *Cell) forgetRemoved(began time.Time) {
	for id, at := range c.removedAt {
		if at.Before(began) {
			delete(c.removedAt, id)
		}
	}
}

// idle reports whether the job has no run left.
func (j *jobState) idle() bool {
	for _, s := range j.stages {
		if s.runs > 0 {
			return false
		}
	}
	return true
}
