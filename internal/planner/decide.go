package planner

import (
	"time"
)

// Limits of one cycle.
const (
	// maxPlacementsPerCycle bounds the tasks placed by one Decide, so that
	// reports and cancellations are not delayed for long.
	maxPlacementsPerCycle = 1000
	// quantum is the number of tasks placed for one run before the next run
	// gets its turn, so that teams share fairly within a cycle.
	quantum = 16
)

// Decide places pending tasks. It returns true if it reached its placement
// limit and should run again at once.
//
// A cycle collects the runs with tasks that may start, updates the reservation
// for the first gang that does not fit, places a quantum of each run in turn
// until nothing more fits, and then preempts tasks for urgent work.
//
// During a confirmed outage of the table only work that may be repeated is
// placed.
func (c *Core) Decide(now time.Time, outage bool) bool {
	c.outage = outage
	for _, e := range c.active {
		c.rollingUpdate(e)
	}
	c.endQuarantines(now)
	if c.waitingForReports(now) {
		return false
	}
	cl := c.snapshot(now)
	items := c.gatherReady(now)
	if len(items) == 0 {
		c.reservation = reservation{}
		return false
	}
	c.updateReservation(cl, items, now)
	placed := c.placeAll(cl, items, now)
	c.preemptForUrgent(cl, items, now)
	return placed >= maxPlacementsPerCycle
}

// endQuarantines makes workers schedulable again whose quarantine has ended.
func (c *Core) endQuarantines(now time.Time) {
	if c.clusterStale || c.cluster == nil {
		return
	}
	for i := range c.cluster.Len() {
		n := c.cluster.Node(i)
		if n.Unschedulable && !c.health.Quarantined(n.ID, now) {
			c.cluster.SetUnschedulable(i, false)
		}
	}
}
