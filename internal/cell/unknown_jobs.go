package cell

import "gentianstand/internal/job"

// UnknownJobs returns the jobs that workers report and that this cell does not know.
// An overtaken owner can have begun a job that was accepted after this one had
// read the store. Their ends are not taken in, and so not acknowledged, until
// the job is loaded, or Absent says that there is none.
func (c *Cell) UnknownJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.unknownJobs))
	for id := range c.unknownJobs {
		ids = append(ids, id)
	}
	return ids
}

// MarkAbsent takes in that the store has no such job, so that its runs are stopped.
func (c *Cell) MarkAbsent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unknownJobs, id)
	c.absentJobs[id] = struct{}{}
}

// knowsJob reports whether a task's job is known or known to be absent;
// otherwise the job is put among the missing. A name that no job can have
// belongs to an absent one.
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
