package planner

import (
	"time"

	"gentianstand/internal/placement/batch"
	"gentianstand/internal/placement/cluster"
	"gentianstand/internal/placement/explain"
	"gentianstand/internal/placement/gang"
	"gentianstand/internal/placement/order"
	"gentianstand/internal/placement/policy"
	"gentianstand/internal/placement/service"
	"gentianstand/internal/run"
	"gentianstand/internal/spec"
)

// The bounds of one cycle.
const (
	// cyclePlacements bounds the tasks placed in one Decide, so that reports
	// and cancellations are never kept waiting for long.
	cyclePlacements = 1000
	// quantum is how many tasks of a run are placed before the next run's
	// turn, so that teams share fairly within a cycle.
	quantum = 16
)

// policies names the policy of each kind of workload.
var policies = map[spec.Kind]policy.Policy{
	spec.Service: service.Policy{},
	spec.Batch:   batch.Policy{},
	spec.Job:     gang.Policy{},
}

// Decide places pending tasks and reports whether it should run again at once
// because it reached its bound.
//
// The cycle: gather the runs with work that may start, order them, place a
// quantum of each in turn until nothing more fits; then reserve room for the
// first gang that did not fit, and make room for urgent work.
//
// In a confirmed outage of the table only work that may be repeated is placed.
func (c *Core) Decide(now time.Time, outage bool) bool {
	c.outage = outage
	for _, e := range c.active {
		c.roll(e)
	}
	c.reopen(now)
	if c.settling(now) {
		return false
	}
	cl := c.snapshot(now)
	items := c.gather(now)
	if len(items) == 0 {
		c.hold = reservation{}
		return false
	}
	c.holdRoom(cl, items, now)
	placed := c.placeAll(cl, items, now)
	c.makeRoom(cl, items, now)
	return placed >= cyclePlacements
}

// reopen puts workers back whose quarantine has ended.
func (c *Core) reopen(now time.Time) {
	if c.clusterStale || c.cluster == nil {
		return
	}
	for i := range c.cluster.Len() {
		n := c.cluster.Node(i)
		if n.Closed && !c.board.Out(n.ID, now) {
			c.cluster.SetClosed(i, false)
		}
	}
}

// gather returns the runs with tasks that may start now, and notes why the
// others wait.
func (c *Core) gather(now time.Time) []order.Item {
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
	item := order.Item{Run: e.run.ID, Team: w.Team, Rank: w.Urgency.Rank(), Since: e.since, Service: w.Kind == spec.Service, Gang: w.Kind == spec.Job}
	if w.Deadline > 0 && w.Kind != spec.Service {
		item.Due = e.run.SubmittedAt.Add(w.Deadline).Add(-c.expectedRunTime(e))
	}
	return item
}

func (c *Core) mayStart(e *entry, now time.Time) (string, bool) {
	switch {
	case e.old && !c.recovery.done:
		return string(policy.Recovering), false
	case c.neverFits(e):
		return e.reason, false
	case !c.dependenciesReady(e):
		return string(policy.WaitsFor), false
	case c.outage && !e.repeatable():
		return string(policy.WaitsForTable), false
	case !c.gangWhole(e):
		return "waits_for_all_tasks_to_stop", false
	case c.nextReady(e, now) < 0 || e.run.Workload.Kind == spec.Job && !c.allReady(e, now):
		return string(policy.BackingOff), false
	}
	return "", true
}

// neverFits tells work that no worker could hold even when empty. It is asked
// again only when the fleet changes, and blocks nobody meanwhile.
func (c *Core) neverFits(e *entry) bool {
	if e.fleetVersion == c.fleetVersion && e.fleetVersion > 0 {
		return e.never
	}
	e.fleetVersion = c.fleetVersion
	why, never := "", false
	if e.run.Workload.Kind == spec.Job {
		why, never = explain.NeverAll(c.cluster, c.need(e), len(e.run.Tasks))
	} else {
		why, never = explain.Never(c.cluster, c.need(e))
	}
	if never && !e.never {
		c.event("run_can_never_start", e.run.ID, 0, "", why)
	}
	e.never = never
	if never {
		e.reason = why
	}
	return never
}

// dependenciesReady reports whether services that the run depends on have a
// running replica, and batch runs and jobs have succeeded.
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
		return ok && e.anySeen()
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

func (e *entry) anySeen() bool {
	for i := range e.run.Tasks {
		if t := &e.run.Tasks[i]; t.State == run.TaskAssigned && t.Seen && !t.Stopping {
			return true
		}
	}
	return false
}

// gangWhole reports whether a gang has no task left running from before.
func (c *Core) gangWhole(e *entry) bool {
	return e.run.Workload.Kind != spec.Job || e.pending == len(e.run.Tasks)
}

// nextReady returns the first pending task whose wait is over, or -1. A task of
// which a stray attempt is still being stopped has to wait for that.
func (c *Core) nextReady(e *entry, now time.Time) int {
	for i := range e.run.Tasks {
		t := &e.run.Tasks[i]
		if t.State == run.TaskPending && !now.Before(t.NotBefore) && c.strays[taskKey{e.run.ID, i}] <= 0 {
			return i
		}
	}
	return -1
}

// placeAll places a quantum of each run in turn and returns how many tasks it
// placed.
func (c *Core) placeAll(cl *cluster.Cluster, items []order.Item, now time.Time) int {
	placed := 0
	for len(items) > 0 && placed < cyclePlacements {
		order.Sort(items, c.shares(), c.total(), now)
		var more []order.Item
		for _, item := range items {
			n, again := c.placeRun(cl, c.active[item.Run], now)
			placed += n
			if again {
				more = append(more, item)
			}
		}
		items = more
	}
	return placed
}

func (c *Core) shares() map[string]order.Share {
	shares := make(map[string]order.Share, len(c.text.Teams))
	for _, team := range c.text.Teams {
		shares[team.Name] = order.Share{Used: c.used[team.Name], Quota: team.Quota, Weight: team.Weight}
	}
	return shares
}

// placeRun places up to a quantum of the run's tasks; again says that more of
// it may fit.
func (c *Core) placeRun(cl *cluster.Cluster, e *entry, now time.Time) (placed int, again bool) {
	if e.run.Workload.Kind == spec.Job {
		return c.placeGang(cl, e, now), false
	}
	within := !c.overQuota(e)
	for placed < quantum {
		if within && c.overQuota(e) {
			// The team borrows from here on: others may come before it now.
			return placed, true
		}
		index := c.nextReady(e, now)
		if index < 0 {
			return placed, false
		}
		if !c.withinQuota(e, 1) {
			e.reason = string(policy.OverQuota)
			return placed, false
		}
		decision := policies[e.run.Workload.Kind].Place(cl, c.request(e, now, 1))
		if !decision.Placed() {
			e.reason = string(decision.Reason)
			return placed, false
		}
		c.assign(cl, e, index, decision.Nodes[0])
		placed++
	}
	return placed, true
}

func (c *Core) placeGang(cl *cluster.Cluster, e *entry, now time.Time) int {
	tasks := len(e.run.Tasks)
	if !c.withinQuota(e, int64(tasks)) {
		e.reason = string(policy.OverQuota)
		return 0
	}
	decision := policies[spec.Job].Place(cl, c.request(e, now, tasks))
	if !decision.Placed() {
		e.reason = string(decision.Reason)
		return 0
	}
	for index, node := range decision.Nodes {
		c.assign(cl, e, index, node)
	}
	return tasks
}

// overQuota reports whether the run's team uses more than its quota.
func (c *Core) overQuota(e *entry) bool {
	team, ok := c.text.Team(e.run.Workload.Team)
	return ok && !c.used[team.Name].Fits(team.Quota)
}

// withinQuota reports whether the team may take n more tasks of the run. A
// team that may borrow is held back by order, not here.
func (c *Core) withinQuota(e *entry, n int64) bool {
	team, ok := c.text.Team(e.run.Workload.Team)
	if !ok || team.Borrow {
		return true
	}
	return c.used[team.Name].Add(c.need(e).Times(n)).Fits(team.Quota)
}

func (c *Core) request(e *entry, now time.Time, tasks int) policy.Request {
	w := e.run.Workload
	req := policy.Request{Workload: w.Name, Need: c.need(e), Tasks: tasks, Spread: w.Spread}
	req.Long = c.hold.run != "" && c.hold.run != e.run.ID && !c.endsBefore(e, now, c.hold.at)
	req.Avoid = c.avoid(e)
	return req
}

// avoid keeps a run off workers that are being cleared for urgent ones, and
// off workers on trial that already have a task.
func (c *Core) avoid(e *entry) func(string) bool {
	return func(id string) bool {
		for runID, cl := range c.claims {
			if cl.worker == id && runID != e.run.ID {
				return true
			}
		}
		return c.board.Trial(id) && len(c.workers[id].tasks) > 0
	}
}

// assign books a pending task on a worker as its next attempt.
func (c *Core) assign(cl *cluster.Cluster, e *entry, index, node int) {
	t := &e.run.Tasks[index]
	n := cl.Node(node)
	t.State = run.TaskAssigned
	t.Attempt++
	t.Worker, t.Boot = n.ID, c.workers[n.ID].report.Boot
	t.Need, t.Definition = c.need(e), e.run.Definition
	t.Reason, t.Result = "", ""
	t.Stopping, t.Seen = false, false
	e.pending--
	e.reason = ""
	c.book(e, index)
	cl.Take(node, e.run.Workload.Name, t.Need)
	key := taskKey{e.run.ID, index}
	c.decided = append(c.decided, start{key, t.Attempt})
	c.unwritten[key] = t.Attempt
	c.setRunning(e)
	c.touchTask(e, index)
	delete(c.claims, e.run.ID)
}

// allReady reports whether every task of a gang may start.
func (c *Core) allReady(e *entry, now time.Time) bool {
	for i := range e.run.Tasks {
		if now.Before(e.run.Tasks[i].NotBefore) || c.strays[taskKey{e.run.ID, i}] > 0 {
			return false
		}
	}
	return true
}
