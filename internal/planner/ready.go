package planner

import (
	"time"

	"gentianstand/internal/placement/explain"
	"gentianstand/internal/placement/order"
	"gentianstand/internal/placement/policy"
	"gentianstand/internal/run"
	"gentianstand/internal/spec"
)

// gatherReady returns the runs with tasks that may start now, and records why
// the others wait.
func (c *Core) gatherReady(now time.Time) []order.Item {
	var items []order.Item
	for _, id := range sortedKeys(c.active) {
		e := c.active[id]
		if e.pending == 0 || e.run.State == run.Stopping {
			continue
		}
		if reason, ok := c.mayStart(e, now); !ok {
			e.reason = reason
			continue
		}
		items = append(items, c.item(e))
	}
	return items
}

func (c *Core) item(e *entry) order.Item {
	w := e.run.Workload
	item := order.Item{Run: e.run.ID, Team: w.Team, Rank: w.Urgency.Rank(), ReadySince: e.readySince, Service: w.Kind == spec.Service, Gang: w.Kind == spec.Job}
	if w.Deadline > 0 && w.Kind != spec.Service {
		item.LatestStart = e.run.SubmittedAt.Add(w.Deadline).Add(-c.expectedRunTime(e))
	}
	return item
}

func (c *Core) mayStart(e *entry, now time.Time) (string, bool) {
	switch {
	case e.inherited && !c.recovery.done:
		return string(policy.Recovering), false
	case c.neverFits(e):
		return e.reason, false
	case !c.dependenciesReady(e):
		return string(policy.WaitsForDependency), false
	case c.outage && !e.repeatable():
		return string(policy.WaitsForTable), false
	case !c.gangStopped(e):
		return "waits_for_all_tasks_to_stop", false
	case c.nextReady(e, now) < 0 || e.run.Workload.Kind == spec.Job && !c.allReady(e, now):
		return string(policy.BackingOff), false
	}
	return "", true
}

// neverFits reports whether no worker could hold the run's tasks even when
// empty. The answer is computed again only when the fleet changes, and such a
// run does not delay others.
func (c *Core) neverFits(e *entry) bool {
	if e.fleetVersion == c.fleetVersion && e.fleetVersion > 0 {
		return e.infeasible
	}
	e.fleetVersion = c.fleetVersion
	why, never := "", false
	if e.run.Workload.Kind == spec.Job {
		why, never = explain.GangNeverFits(c.cluster, c.need(e), len(e.run.Tasks))
	} else {
		why, never = explain.NeverFits(c.cluster, c.need(e))
	}
	if never && !e.infeasible {
		c.event("run_can_never_start", e.run.ID, 0, "", why)
	}
	e.infeasible = never
	if never {
		e.reason = why
	}
	return never
}

// dependenciesReady reports whether all dependencies of the run are met:
// services have a running replica, and batch runs and jobs have succeeded.
func (c *Core) dependenciesReady(e *entry) bool {
	for _, name := range e.run.Workload.DependsOn {
		w, ok := c.text.Workload(name)
		if ok && !c.ready(w) {
			return false
		}
	}
	return true
}

func (c *Core) ready(w spec.Workload) bool {
	if w.Kind == spec.Service {
		e, ok := c.active[run.ServiceID(w.Name)]
		return ok && e.anyRunning()
	}
	if w.Start == spec.StartOnApply {
		e, ok := c.runs[run.AppliedID(w)]
		return ok && e.run.State == run.Succeeded
	}
	for _, e := range c.runs {
		if e.run.Workload.Name == w.Name && e.run.State == run.Succeeded {
			return true
		}
	}
	return false
}

func (e *entry) anyRunning() bool {
	for i := range e.run.Tasks {
		if t := &e.run.Tasks[i]; t.State == run.TaskAssigned && t.Reported && !t.Stopping {
			return true
		}
	}
	return false
}

// gangStopped reports whether all tasks of a gang are pending, so that none is
// left running from before. It returns true for other kinds of runs.
func (c *Core) gangStopped(e *entry) bool {
	return e.run.Workload.Kind != spec.Job || e.pending == len(e.run.Tasks)
}

// nextReady returns the first pending task whose retry delay is over, or -1. A
// task with an orphaned attempt waits until that has stopped.
func (c *Core) nextReady(e *entry, now time.Time) int {
	for i := range e.run.Tasks {
		t := &e.run.Tasks[i]
		if t.State == run.TaskPending && !now.Before(t.NotBefore) && c.orphanCounts[taskKey{e.run.ID, i}] <= 0 {
			return i
		}
	}
	return -1
}

// allReady reports whether every task of a gang may start.
func (c *Core) allReady(e *entry, now time.Time) bool {
	for i := range e.run.Tasks {
		if now.Before(e.run.Tasks[i].NotBefore) || c.orphanCounts[taskKey{e.run.ID, i}] > 0 {
			return false
		}
	}
	return true
}
