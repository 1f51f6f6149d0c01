package cell

// rejectedRows are the values that the store does not take. They are left out of commits, so that they
// hold back no others, until they are tried again.
type rejectedRows struct {
	jobs   map[*jobState]struct{}
	chunks map[int]struct{}
	// retry lists jobs to be tried again, each in a commit of its own.
	retry []*jobState
}

func newRejectedRows() rejectedRows {
	return rejectedRows{jobs: map[*jobState]struct{}{}, chunks: map[int]struct{}{}}
}

// Reject handles a commit, or a unit of it, that the store does not take. Its jobs and chunks are left
// out of commits until RetryRejected is called.
func (c *Cell) Reject(commit *Commit) {
	c.CommitFailed(commit)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range commit.Items {
		c.rejectedRows.jobs[item.jobState] = struct{}{}
	}
	for _, chunk := range commit.Chunks {
		c.rejectedRows.chunks[chunk.Number] = struct{}{}
	}
}

// RetryRejected lets all values be tried again that the store did not take.
func (c *Cell) RetryRejected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.rejectedRows.chunks)
	c.rejectedRows.retry = c.rejectedRows.retry[:0]
	for j := range c.rejectedRows.jobs {
		c.rejectedRows.retry = append(c.rejectedRows.retry, j)
	}
}

// nextRetry returns a commit of one job that was rejected, or nil if none is to be tried again.
func (c *Cell) nextRetry() *Commit {
	for len(c.rejectedRows.retry) > 0 {
		j := c.rejectedRows.retry[0]
		c.rejectedRows.retry = c.rejectedRows.retry[1:]
		delete(c.rejectedRows.jobs, j)
		if _, dirty := c.dirtyJobs[j]; !dirty {
			continue
		}
		commit := &Commit{}
		room := c.newRoom(1)
		c.takeJob(commit, j, &room)
		if len(commit.Items) > 0 {
			return commit
		}
	}
	return nil
}

func (c *Cell) isRejected(j *jobState) bool {
	_, is := c.rejectedRows.jobs[j]
	return is
}

// pendingJobs returns the number of dirty jobs that are not rejected.
func (c *Cell) pendingJobs() int {
	n := len(c.dirtyJobs)
	for j := range c.rejectedRows.jobs {
		if _, dirty := c.dirtyJobs[j]; dirty {
			n--
		}
	}
	return n
}

// storedEnd returns the highest sequence number up to which all ends of a worker are stored, if all jobs
// are stored that are not rejected. The ends of rejected jobs must not be acknowledged, nor
// those after them.
func (c *Cell) storedEnd(w *worker) uint64 {
	if len(c.rejectedRows.jobs) == 0 {
		return w.seenEnd
	}
	for _, e := range w.unstoredEnds {
		j := e.task.stage.job
		if _, dirty := c.dirtyJobs[j]; dirty && c.isRejected(j) && e.sequence > w.ackedEnd {
			return e.sequence - 1
		}
	}
	return w.seenEnd
}
