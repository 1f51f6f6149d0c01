package owner

import (
	"time"

	"gentianstand/internal/fault"
	"gentianstand/internal/fleet"
)

// Assign handles an order of the planner. An order of a superseded planner is
// refused with NotOwner, and one that is older than the last accepted order
// with Conflict, however late it arrives. NotOwner is also returned if some of
// the workers have a new owner, so that the planner decides again at once what
// is still to be sent instead of waiting for a later report.
func (o *Owner) Assign(order fleet.Order) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case order.PlannerEpoch < o.plannerEpoch:
		return fault.New(fault.NotOwner, "planner epoch %d was superseded by epoch %d", order.PlannerEpoch, o.plannerEpoch)
	case order.PlannerEpoch == o.orderEpoch && order.Sequence <= o.orderSequence:
		return fault.New(fault.Conflict, "order %d is not later than accepted order %d", order.Sequence, o.orderSequence)
	}
	o.plannerEpoch = order.PlannerEpoch
	o.orderEpoch, o.orderSequence = order.PlannerEpoch, order.Sequence
	missed := 0
	for _, a := range order.Assignments {
		m, ok := o.loops[a.Worker]
		if !ok || m.epoch != a.Epoch {
			missed++
			continue
		}
		m.assign(a)
	}
	if missed > 0 {
		return fault.New(fault.NotOwner, "%d of %d workers are not owned here under the epoch of their assignment", missed, len(order.Assignments))
	}
	return nil
}

func (m *workerLoop) assign(a fleet.Assignment) {
	m.mu.Lock()
	changed := m.tracker.Assign(a)
	waiting := m.tracker.NeedsSync()
	m.dirty = m.dirty || changed
	m.mu.Unlock()
	if changed && waiting {
		m.requestSync()
	}
	if changed {
		m.publishState(true, time.Now())
	}
}
