package planner

import (
	"time"

	"gentianstand/internal/placement/batch"
	"gentianstand/internal/placement/cluster"
	"gentianstand/internal/placement/gang"
	"gentianstand/internal/placement/order"
	"gentianstand/internal/placement/policy"
	"gentianstand/internal/placement/service"
	"gentianstand/internal/run"
	"gentianstand/internal/spec"
)

// policies maps each kind of workload to its placement policy.
var policies = map[spec.Kind]policy.Policy{
	spec.Service: service.Policy{},
	spec.Batch:   batch.Policy{},
	spec.Job:     gang.Policy{},
}

// placeAll places a quantum of each run in turn. It returns the number of tasks
// placed.
func (c *Core) placeAll(cl *cluster.Cluster, items []order.Item, now time.Time) int {
	placed := 0
	for len(items) > 0 && placed < maxPlacementsPerCycle {
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

// placeRun places up to a quantum of the run's tasks. It returns again = true
// if more of them may fit.
func (c *Core) placeRun(cl *cluster.Cluster, e *entry, now time.Time) (placed int, again bool) {
	if e.run.Workload.Kind == spec.Job {
		return c.placeGang(cl, e, now), false
	}
	withinQuotaAtStart := !c.overQuota(e)
	for placed < quantum {
		if withinQuotaAtStart && c.overQuota(e) {
			// The team uses borrowed quota from here on, so other teams may go
			// first.
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

// withinQuota reports whether the team may start n more tasks of the run. A
// team that may borrow is limited by the order of runs, not here.
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
	req.Long = c.reservation.run != "" && c.reservation.run != e.run.ID && !c.endsBefore(e, now, c.reservation.at)
	req.Avoid = c.avoid(e)
	return req
}

// avoid returns a filter that keeps a run off workers claimed for other urgent
// runs, and off workers on probation that already have a task.
func (c *Core) avoid(e *entry) func(string) bool {
	return func(id string) bool {
		for runID, cl := range c.claims {
			if cl.worker == id && runID != e.run.ID {
				return true
			}
		}
		return c.health.OnProbation(id) && len(c.workers[id].tasks) > 0
	}
}

// assign assigns a pending task to a worker as its next attempt.
func (c *Core) assign(cl *cluster.Cluster, e *entry, index, node int) {
	t := &e.run.Tasks[index]
	n := cl.Node(node)
	t.State = run.TaskAssigned
	t.Attempt++
	t.Worker, t.Boot = n.ID, c.workers[n.ID].report.Boot
	t.Need, t.Definition = c.need(e), e.run.Definition
	t.Reason, t.Result = "", ""
	t.Stopping, t.Reported = false, false
	e.pending--
	e.reason = ""
	c.recordAssignment(e, index)
	cl.Allocate(node, e.run.Workload.Name, t.Need)
	key := taskKey{e.run.ID, index}
	c.decided = append(c.decided, start{key, t.Attempt})
	c.unwritten[key] = t.Attempt
	c.setRunning(e)
	c.markTaskChanged(e, index)
	delete(c.claims, e.run.ID)
}
