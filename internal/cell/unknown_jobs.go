package cell

import "gentianstand/internal/job"

// UnknownJobs returns the jobs that workers report and that this cell does not know. A
// superseded owner can have started a job that was accepted after this one read the store. The
// ends of such jobs are not recorded, and so not acknowledged, until the job is loaded or
// MarkAbsent is called.
func (c *Cell) UnknownJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.unknownJobs))
	for id := range c.unknownJobs {
		ids = append(ids, id)
	}
	return ids
}

// MarkAbsent records that the store has no such job, so that its runs are stopped.
func (c *Cell) MarkAbsent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unknownJobs, id)
	c.absentJobs[id] = struct{}{}
}

// knowsJob reports whether a task's job is known or known to be absent. Otherwise it adds the
// job to the unknown jobs. A task name that cannot be parsed counts as absent.
func (c *Cell) knowsJob(task string) bool {
	id, err := job.ParseTaskID(task)
	if err != nil || c.jobs[id.Job] != nil {
		return true
	}
	if _, ok := c.absentJobs[id.Job]; ok {
		return true
	}
	c.unknownJobs[id.Job] = struct{}{}
	return false
}
