package planner

import (
	"time"

	"gentianstand/internal/placement/cluster"
	"gentianstand/internal/placement/order"
	"gentianstand/internal/placement/policy"
	"gentianstand/internal/placement/preempt"
	"gentianstand/internal/run"
	"gentianstand/internal/spec"
	"gentianstand/internal/worker"
)

// claim reserves a worker for an urgent run while preempted tasks stop there.
type claim struct {
	worker string
	until  time.Time
}

// claimDuration is how long a worker stays reserved. Preempted tasks need one
// heartbeat to stop.
const claimDuration = 4 * time.Second

// preemptForUrgent stops running tasks for urgent runs that do not fit.
func (c *Core) preemptForUrgent(cl *cluster.Cluster, items []order.Item, now time.Time) {
	for id, cm := range c.claims {
		if now.After(cm.until) {
			delete(c.claims, id)
		}
	}
	var victims []preempt.Victim
	for _, item := range items {
		e := c.active[item.Run]
		if e == nil || e.pending == 0 || item.Rank != spec.Urgent.Rank() || e.reason != string(policy.NoCapacity) {
			continue
		}
		if _, waiting := c.claims[item.Run]; waiting {
			continue
		}
		if victims == nil {
			victims = c.victims(cl, now)
		}
		victims = c.preemptFor(cl, e, item, victims, now)
	}
}

// preemptFor stops the cheapest victims for one task of a run and returns the
// remaining victims.
func (c *Core) preemptFor(cl *cluster.Cluster, e *entry, item order.Item, victims []preempt.Victim, now time.Time) []preempt.Victim {
	node, chosen := preempt.Choose(cl, c.need(e), item.Rank, item.Team, victims)
	if node < 0 || len(chosen) == 0 {
		return victims
	}
	stopped := map[worker.TaskRef]bool{}
	for _, v := range chosen {
		stopped[v.Ref] = true
		c.stopTask(c.active[v.Ref.Run], v.Ref.Index, worker.Checkpoint)
		c.event("task_preempted", v.Ref.Run, v.Ref.Index, cl.Node(node).ID, e.run.ID)
	}
	c.claims[e.run.ID] = claim{worker: cl.Node(node).ID, until: now.Add(claimDuration)}
	var left []preempt.Victim
	for _, v := range victims {
		if !stopped[v.Ref] {
			left = append(left, v)
		}
	}
	return left
}

// victims returns the running tasks that preemption may consider.
func (c *Core) victims(cl *cluster.Cluster, now time.Time) []preempt.Victim {
	shares := c.shares()
	var list []preempt.Victim
	for _, id := range sortedKeys(c.active) {
		e := c.active[id]
		if e.run.Workload.Kind == spec.Service {
			continue
		}
		team, _ := c.text.Team(e.run.Workload.Team)
		for i := range e.run.Tasks {
			t := &e.run.Tasks[i]
			node, ok := cl.Find(t.Worker)
			if t.State != run.TaskAssigned || t.Stopping || !ok {
				continue
			}
			list = append(list, preempt.Victim{
				Ref: c.ref(taskKey{id, i}), Node: node, Need: t.Need, Rank: e.run.Workload.Urgency.Rank(),
				SinceCheckpoint: progress(t, now), Borrowed: shares[team.Name].OverQuota(), Protected: team.Protected,
				Team: team.Name, Repeatable: e.run.Workload.Idempotent,
			})
		}
	}
	return list
}

func progress(t *run.Task, now time.Time) time.Duration {
	if t.StartedAt.IsZero() {
		return 0
	}
	return now.Sub(t.StartedAt)
}
