package planner

import (
	"time"

	"gentianstand/internal/run"
)

// Retention is how long the rows of a finished run are kept.
const Retention = 24 * time.Hour

// Expired returns finished runs whose rows may go: they are older than
// Retention and the text in force does not name them. A run that the text
// names must stay known, or planning the same text would run it once more.
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

// Forget drops a finished run whose rows are gone.
func (c *Core) Forget(id string) {
	if e, ok := c.runs[id]; ok && e.run.State.Final() {
		delete(c.runs, id)
	}
}

// removeRows has the rows of a finished run deleted with the next write.
func (c *Core) removeRows(id string) {
	e, ok := c.runs[id]
	if !ok || !e.run.State.Final() || e.dirty() || e.writing {
		return
	}
	e.removed = true
	c.markChanged(e)
}
