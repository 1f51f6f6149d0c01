package planner

import (
	"time"

	"gentianstand/internal/run"
	"gentianstand/internal/spec"
	"gentianstand/internal/worker"
)

// Apply applies the configuration in force. Every workload that starts on apply
// has one run with an ID derived from its definition, so applying the same
// configuration again, on this or another planner, starts nothing twice. Runs
// that the configuration no longer contains are ended.
func (c *Core) Apply(number uint64, text *spec.Text, author string, now time.Time) {
	if number < c.number {
		return
	}
	c.number, c.text = number, text
	wanted := map[string]bool{}
	for _, w := range text.Workloads {
		if w.Start != spec.StartOnApply {
			continue
		}
		id := run.AppliedID(w)
		wanted[id] = true
		c.ensureRun(id, w, author, now)
	}
	for _, id := range sortedKeys(c.active) {
		e := c.active[id]
		if !wanted[id] && !e.run.Submitted {
			c.endRun(e, author, now)
		}
	}
}

func (c *Core) ensureRun(id string, w spec.Workload, author string, now time.Time) {
	e, ok := c.runs[id]
	switch {
	case !ok:
		c.create(run.New(id, w, author, false, now), now)
	case w.Kind == spec.Service && e.run.State.Final():
		c.create(run.New(id, w, author, false, now), now)
	case w.Kind == spec.Service:
		c.updateService(e, w, now)
	}
}

func (c *Core) create(r *run.Run, now time.Time) *entry {
	e := newEntry(r)
	if old, ok := c.runs[r.ID]; ok {
		e.stored = old.stored
	}
	e.readySince = now
	c.runs[r.ID] = e
	c.active[r.ID] = e
	e.markAllChanged()
	c.markChanged(e)
	c.event("run_created", r.ID, 0, "", r.By)
	return e
}

// updateService applies a changed definition. Replicas that run an older one
// are replaced gradually by Decide.
func (c *Core) updateService(e *entry, w spec.Workload, now time.Time) {
	if e.run.State == run.Stopping {
		e.run.State, e.run.CancelledBy = run.Waiting, ""
		c.markHeadChanged(e)
	}
	definition := run.Definition(w)
	if definition == e.run.Definition && w.Tasks == e.run.Workload.Tasks {
		return
	}
	e.run.Workload, e.run.Definition = w, definition
	e.readySince, e.infeasible = now, false
	for len(e.run.Tasks) < w.Tasks {
		e.run.Tasks = append(e.run.Tasks, run.Task{State: run.TaskPending})
		e.pending++
	}
	e.markAllChanged()
	c.markChanged(e)
	c.shrink(e)
}

// shrink stops replicas beyond the wanted number and removes them once they
// have ended.
func (c *Core) shrink(e *entry) {
	for len(e.run.Tasks) > e.run.Workload.Tasks {
		last := len(e.run.Tasks) - 1
		t := &e.run.Tasks[last]
		if t.State == run.TaskAssigned {
			break
		}
		if t.State == run.TaskPending {
			e.pending--
		}
		e.run.Tasks = e.run.Tasks[:last]
		e.markAllChanged()
		c.markChanged(e)
	}
	for i := e.run.Workload.Tasks; i < len(e.run.Tasks); i++ {
		if t := &e.run.Tasks[i]; t.State == run.TaskAssigned && !t.Stopping {
			c.stopTask(e, i, worker.Drain)
		}
	}
}

// rollingUpdateDivisor limits a rolling update: at most 1/10 of a service's
// replicas, but at least 1, are replaced at a time.
const rollingUpdateDivisor = 10

// rollingUpdate replaces replicas that run an older definition, a few at a time
// and only while the others are running.
func (c *Core) rollingUpdate(e *entry) {
	if e.run.Workload.Kind != spec.Service || e.run.State == run.Stopping {
		return
	}
	c.shrink(e)
	budget := max(e.run.Workload.Tasks/rollingUpdateDivisor, 1) - e.pending
	var old []int
	for i := range e.run.Tasks {
		t := &e.run.Tasks[i]
		switch {
		case t.State != run.TaskAssigned:
		case t.Stopping || !t.Reported:
			budget--
		case t.Definition != e.run.Definition:
			old = append(old, i)
		}
	}
	for _, i := range old {
		if budget <= 0 {
			return
		}
		c.stopTask(e, i, worker.Drain)
		budget--
	}
}
