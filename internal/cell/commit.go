package cell

import "time"

// Commit is a set of job progress to store in one transaction.
type Commit struct {
	Items []CommitItem
	// Chunks are the parts of the known workers that have changed.
	Chunks []WorkerChunk
	// acks are the ends that are covered when the transaction is stored.
	acks map[*worker]uint64
}

// NextCommit returns what to store, at most limit jobs, or nil if everything is
// stored. Only one commit may be under way at a time.
func (c *Cell) NextCommit(limit int) *Commit {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.dirty) == 0 && len(c.known.unsaved) == 0 {
		c.acknowledgeAll()
		return nil
	}
	commit := &Commit{Chunks: c.takeChunks(), acks: map[*worker]uint64{}}
	for j := range c.dirty {
		if len(commit.Items) == limit {
			return commit
		}
		delete(c.dirty, j)
		commit.Items = append(commit.Items, CommitItem{Job: j.record.ID, Progress: j.progress(), Version: j.progressVersion, state: j})
	}
	if !c.fenced {
		return commit
	}
	// Only now does the commit, with those before it, cover all ends seen so far.
	for _, w := range c.workers {
		commit.acks[w] = w.seen
	}
	return commit
}

// acknowledgeAll has all ends acknowledged that were seen, as all are stored. Not
// while an overtaken owner may act: it would take a run for lost whose worker
// crashed, and start the task again after its success was acknowledged.
func (c *Cell) acknowledgeAll() {
	if !c.fenced {
		return
	}
	for _, w := range c.workers {
		w.acked = w.seen
	}
}

// Committed takes in that a commit was stored under a version.
func (c *Cell) Committed(commit *Commit, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range commit.Items {
		item.state.progressVersion = version
		if item.Progress.Final != "" {
			item.state.visible = item.Progress.Final
		}
	}
	c.chunksStored(commit.Chunks, version)
	for w, seen := range commit.acks {
		w.acked = max(w.acked, seen)
	}
}

// NotCommitted takes in that a commit was not stored, or not for certain. Its
// jobs and chunks are stored again. found, if not nil, holds the versions found
// in the store: an earlier attempt may have taken effect after all.
func (c *Cell) NotCommitted(commit *Commit, found *FoundVersions) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if found == nil {
		found = &FoundVersions{}
	}
	c.chunksNotStored(commit.Chunks, found.Chunks)
	for _, item := range commit.Items {
		c.dirty[item.state] = struct{}{}
		if v, ok := found.Jobs[item.Job]; ok {
			item.state.progressVersion = v
		}
	}
}

// Expired removes jobs that ended longer than keep ago from memory and returns
// their ids, so that their rows can be removed.
func (c *Cell) Expired(keep time.Duration, now time.Time, limit int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, j := range c.jobs {
		if len(ids) == limit {
			break
		}
		if j.visible != "" && now.Sub(j.endedAt) > keep && j.idle() {
			ids = append(ids, id)
			delete(c.jobs, id)
		}
	}
	return ids
}

// idle reports whether nothing of the job may still run.
func (j *jobState) idle() bool {
	for _, s := range j.stages {
		if s.runs() > 0 {
			return false
		}
	}
	return true
}
