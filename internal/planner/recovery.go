package planner

import "time"

// recovery tracks whether a new planner knows all attempts that a previous
// planner may have started without recording them.
//
// In a confirmed outage a planner starts accepted tasks although the table
// cannot store their assignment. If that planner then dies, its successor reads
// those tasks as pending. Starting them would run them twice. The successor
// therefore waits until every owner has reported all its workers and every
// worker has answered or is certainly lost. Once an owner has reported to the
// new planner it refuses starts from the previous one.
type recovery struct {
	since time.Time
	done  bool
	// owners holds the instances that have reported all their workers.
	owners map[string]bool
}

func newRecovery(now time.Time) recovery {
	return recovery{since: now, owners: map[string]bool{}}
}

// OwnerReported records that an owner has reported all its workers.
func (c *Core) OwnerReported(instance string) { c.recovery.owners[instance] = true }

// CheckRecovery ends the recovery once all owners in the table have reported
// and all listed workers are accounted for.
func (c *Core) CheckRecovery(owners, listed []string) {
	if c.recovery.done {
		return
	}
	for _, owner := range owners {
		if !c.recovery.owners[owner] {
			return
		}
	}
	for _, id := range listed {
		if v, ok := c.workers[id]; !ok || !v.accounted() {
			return
		}
	}
	for _, v := range c.workers {
		if v.seen && !v.accounted() {
			return
		}
	}
	c.recovery.done = true
	for _, e := range c.active {
		e.inherited = false
	}
	c.event("planner_recovered", "", 0, "", "")
}

// reportWait is how long a new planner waits for workers to be reported before
// it places anything. Without it, all tasks would be packed onto the first few
// workers reported.
const reportWait = 2 * time.Second

// waitingForReports reports whether it is too early to place anything.
func (c *Core) waitingForReports(now time.Time) bool {
	return !c.recovery.done && now.Sub(c.recovery.since) < reportWait
}

// Recovered reports whether the recovery is complete.
func (c *Core) Recovered() bool { return c.recovery.done }
