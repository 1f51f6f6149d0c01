package planner

import (
	"time"
)

// The bounds of one cycle.
const (
	// maxPlacementsPerCycle bounds the tasks placed in one Decide, so that reports
	// and cancellations are never kept waiting for long.
	maxPlacementsPerCycle = 1000
	// quantum is how many tasks of a run are placed before the next run's
	// turn, so that teams share fairly within a cycle.
	quantum = 16
)

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

// endQuarantines puts workers back whose quarantine has ended.
func (c *Core) endQuarantines(now time.Time) {
	if c.clusterStale || c.cluster == nil {
		return
	}
	for i := range c.cluster.Len() {
		n := c.cluster.Node(i)
		if n.Unschedulable && !c.board.Out(n.ID, now) {
			c.cluster.SetUnschedulable(i, false)
		}
	}
}
