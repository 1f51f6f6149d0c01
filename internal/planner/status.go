package planner

import "gentianstand/internal/run"

// Run returns a copy of a run with its current wait reason.
func (c *Core) Run(id string) (run.Run, bool) {
	e, ok := c.runs[id]
	if !ok {
		return run.Run{}, false
	}
	r := *e.run
	r.Tasks = append([]run.Task(nil), e.run.Tasks...)
	if !r.State.Final() && e.pending > 0 {
		r.Reason = e.reason
	}
	return r, true
}

// Summaries returns all runs without their tasks.
func (c *Core) Summaries() []Summary {
	list := make([]Summary, 0, len(c.runs))
	for _, id := range sortedKeys(c.runs) {
		list = append(list, summarize(c.runs[id]))
	}
	return list
}
