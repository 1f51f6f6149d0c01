package planner

import (
	"time"

	"gentianstand/internal/run"
)

// Retention is how long the rows of a finished run are kept.
const Retention = 24 * time.Hour

// Expired returns finished runs whose rows may be deleted: they are older than
// Retention and not named by the configuration in force. A run that the
// configuration names must stay known, because applying the same configuration
// again would otherwise run it again.
func (c *Core) Expired(now time.Time) []*run.Run {
	named := map[string]bool{}
	for _, w := range c.text.Workloads {
		named[run.AppliedID(w)] = true
	}
	var list []*run.Run
	for _, id := range sortedKeys(c.runs) {
		e := c.runs[id]
		if e.run.State.Final() && !named[id] && !e.dirty() && !e.writing && now.Sub(e.run.FinishedAt) > Retention {
			list = append(list, e.run)
		}
	}
	return list
}

// Forget drops a finished run whose rows have been deleted.
func (c *Core) Forget(id string) {
	if e, ok := c.runs[id]; ok && e.run.State.Final() {
		delete(c.runs, id)
	}
}

// removeRows schedules the rows of a finished run for deletion with the next
// write.
func (c *Core) removeRows(id string) {
	e, ok := c.runs[id]
	if !ok || !e.run.State.Final() || e.dirty() || e.writing {
		return
	}
	e.removed = true
	c.markChanged(e)
}
