package cell

// Stats counts what a cell has decided since it began, for metrics.
type Stats struct {
	Starts       uint64
	Done         uint64
	Failed       uint64
	Lost         uint64
	Stops        uint64
	Preemptions  uint64
	Moves        uint64
	AdviceCalls  uint64
	ActiveJobs   int
	Workers      int
	WaitingTasks int
}

// Stats returns the counts so far.
func (c *Cell) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.ActiveJobs = len(c.active)
	s.Workers = len(c.workers)
	for st := range c.waiting {
		s.WaitingTasks += len(st.idle)
	}
	return s
}
