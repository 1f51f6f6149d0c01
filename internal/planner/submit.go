package planner

import (
	"time"

	"gentianstand/internal/fault"
	"gentianstand/internal/run"
	"gentianstand/internal/spec"
)

// maxActiveRuns bounds the runs that are waiting or running at a time.
const maxActiveRuns = 50_000

// Submit creates a run of a workload that starts on submission. It is
// idempotent: the same ID yields the same run. done is called with the result
// once the run has been written or the write has failed.
func (c *Core) Submit(workload, id, by string, now time.Time, done func(error)) {
	w, ok := c.text.Workload(workload)
	switch {
	case !ok:
		done(fault.New(fault.UnknownRun, "no workload %q is in the configuration in force", workload))
		return
	case w.Kind == spec.Service:
		done(fault.New(fault.BadRequest, "%q is a service; send requests to it", workload))
		return
	}
	e, known := c.runs[id]
	if !known {
		if len(c.active) >= maxActiveRuns {
			done(fault.New(fault.Overloaded, "%d runs wait or run already", len(c.active)).WithRetryAfter(time.Minute))
			return
		}
		e = c.create(run.New(id, w, by, true, now), now)
	}
	if !e.dirty() && !e.writing {
		done(nil)
		return
	}
	e.waiters = append(e.waiters, done)
	c.markChanged(e)
	e.head = true
}

// Cancel ends the runs with the given IDs, or all active runs of a workload.
// Its cost is linear in the number of tasks affected. done is called for each
// run with the result of writing it. Cancel returns the number of runs
// affected.
func (c *Core) Cancel(ids []string, workload, by string, now time.Time, done func(error)) int {
	if workload != "" {
		ids = nil
		for _, id := range sortedKeys(c.active) {
			if e := c.active[id]; e.run.Workload.Name == workload {
				ids = append(ids, id)
			}
		}
	}
	n := 0
	for _, id := range ids {
		e, ok := c.active[id]
		if !ok {
			continue
		}
		n++
		c.endRun(e, by, now)
		e.waiters = append(e.waiters, done)
		c.markHeadChanged(e)
	}
	return n
}
