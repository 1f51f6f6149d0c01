package cell

// Missing returns the jobs that workers report and that this cell does not know.
// An overtaken owner can have begun a job that was accepted after this one had
// read the store. Their ends are not taken in, and so not acknowledged, until
// the job is loaded, or Absent says that there is none.
func (c *Cell) Missing() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.missing))
	for id := range c.missing {
		ids = append(ids, id)
	}
	return ids
}

// Absent takes in that the store has no such job, so that its runs are stopped.
func (c *Cell) Absent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.missing, id)
	c.absent[id] = struct{}{}
}

// lookedFor reports whether a job is known or known to be absent; otherwise it
// is put among the missing.
func (c *Cell) lookedFor(id string) bool {
	if c.jobs[id] != nil {
		return true
	}
	if _, ok := c.absent[id]; ok {
		return true
	}
	c.missing[id] = struct{}{}
	return false
}
