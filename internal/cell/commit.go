package cell

import "time"

// Commit is a set of job progress to store in one transaction.
type Commit struct {
	Items []CommitItem
	// Chunks are the parts of the known workers that have changed.
	Chunks []WorkerChunk
	// acks are the ends that are covered when the transaction is stored.
	acks map[*incarnationState]uint64
}

// NextCommit returns what to store, at most limit jobs and chunks, or nil if
// everything is stored. Only one commit may be under way at a time.
func (c *Cell) NextCommit(limit int) *Commit {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.dirtyJobs) == 0 && len(c.dirtyChunks.numbers) == 0 {
		c.acknowledgeAll()
		return nil
	}
	commit := &Commit{Chunks: c.takeChunks(), acks: map[*incarnationState]uint64{}}
	c.takeDirty(commit, limit, true)
	c.takeDirty(commit, limit, false)
	if len(c.dirtyJobs) > 0 || !c.fenced {
		return commit
	}
	// Only now does the commit, with those before it, cover all ends seen so far.
	for _, w := range c.workers {
		commit.acks[w.incarnationState] = w.seenEnd
	}
	return commit
}

// takeDirty moves jobs into a commit, those that have ended or the others. In a slow store
// all jobs are dirty all the time, and those that have ended should be shown first.
func (c *Cell) takeDirty(commit *Commit, limit int, ended bool) {
	for j := range c.dirtyJobs {
		if len(commit.Items)+len(commit.Chunks) >= limit {
			return
		}
		if (j.final != "") != ended {
			continue
		}
		delete(c.dirtyJobs, j)
		commit.Items = append(commit.Items, CommitItem{Job: j.record.ID, Progress: j.progress(), state: j})
	}
}

// acknowledgeAll has all ends acknowledged that were seen, as all are stored. Not
// while an overtaken owner may act: it would take a run for lost whose worker
// crashed, and start the task again after its success was acknowledged.
func (c *Cell) acknowledgeAll() {
	if !c.fenced {
		return
	}
	for _, w := range c.workers {
		w.ackedEnd = w.seenEnd
	}
}

// Committed takes in that a commit was stored.
func (c *Cell) Committed(commit *Commit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range commit.Items {
		if item.Progress.Final != "" {
			item.state.storedState = item.Progress.Final
		}
	}
	c.chunksStored(commit.Chunks)
	for of, seen := range commit.acks {
		of.ackedEnd = max(of.ackedEnd, seen)
	}
}

// CommitFailed takes in that a commit was not stored, or not for certain. Its
// jobs and chunks are stored again.
func (c *Cell) CommitFailed(commit *Commit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, chunk := range commit.Chunks {
		c.dirtyChunks.numbers[chunk.Number] = struct{}{}
	}
	for _, item := range commit.Items {
		c.dirtyJobs[item.state] = struct{}{}
	}
}

// RemoveExpired removes jobs that ended longer than keep ago from memory and returns
// their ids, so that their rows can be removed.
func (c *Cell) RemoveExpired(keep time.Duration, now time.Time, limit int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, j := range c.jobs {
		if len(ids) == limit {
			break
		}
		if j.storedState != "" && now.Sub(j.endedAt) > keep && j.idle() {
			ids = append(ids, id)
			delete(c.jobs, id)
		}
	}
	return ids
}

// idle reports whether nothing of the job may still run.
func (j *jobState) idle() bool {
	for _, s := range j.stages {
		if s.runCount() > 0 {
			return false
		}
	}
	return true
}
