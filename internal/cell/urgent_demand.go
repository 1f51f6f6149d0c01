package cell

import "time"

// urgentUsePeriod is how often the use of urgent runs is computed. That visits all runs.
const urgentUsePeriod = 50 * time.Millisecond

// urgentDemand sums up, by service, what the workers have for urgent tasks, without what urgent
// runs use and what the urgent stages need that were considered so far, in thousandths of a core.
type urgentDemand struct{ spare map[string]int64 }

// countUrgent subtracts the waiting tasks of an urgent stage from what is left for urgent tasks.
func (c *Cell) countUrgent(s *stage, view *planView, now time.Time) {
	if view.urgent == nil {
		view.urgent = c.newUrgentDemand(view, now)
	}
	view.urgent.spare[s.job.record.Service] -= s.step.Occupied().MilliCPU * int64(c.startable(s))
}

// fits reports whether urgent work up to the stage that was counted last fits on the workers,
// if nothing else runs there.
func (d *urgentDemand) fits(s *stage) bool { return d.spare[s.job.record.Service] >= 0 }

func (c *Cell) newUrgentDemand(view *planView, now time.Time) *urgentDemand {
	if now.Sub(c.urgentUseAt) >= urgentUsePeriod {
		c.urgentUse, c.urgentUseAt = urgentUse(view), now
	}
	d := &urgentDemand{spare: map[string]int64{}}
	for _, w := range view.usable {
		d.spare[w.Service] += w.Capacity.MilliCPU
	}
	for service, milliCPU := range c.urgentUse {
		d.spare[service] -= milliCPU
	}
	return d
}

// urgentUse returns the processors that urgent runs use, by service.
func urgentUse(view *planView) map[string]int64 {
	use := map[string]int64{}
	for _, w := range view.usable {
		for a := range w.attempts {
			if s := a.task.stage; s.job.record.Priority <= 0 && !s.step.LongRunning {
				use[w.Service] += s.step.Occupied().MilliCPU
			}
		}
	}
	return use
}
