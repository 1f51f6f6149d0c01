package cell

import "gentianstand/internal/slack"

// classifyWorkers updates the speed classes of the workers and the fleet of each service.
func (c *Cell) classifyWorkers() {
	c.speedsDiffer = false
	for _, fleet := range c.fleets {
		fleet.Reset()
	}
	if !c.enabled(Slack) {
		return
	}
	for _, w := range c.workers {
		fleet := c.fleets[w.Service]
		if fleet == nil {
			fleet = &slack.Fleet{}
			c.fleets[w.Service] = fleet
		}
		w.speedClass = fleet.Add(c.speedFactor(w), w.Capacity.MilliCPU)
	}
	for _, fleet := range c.fleets {
		c.speedsDiffer = c.speedsDiffer || fleet.Differs()
	}
}

// pace returns the run-time factor on which urgent work of a stage's service can count.
func (c *Cell) pace(s *stage) float64 {
	if !c.speedsDiffer {
		return 1
	}
	return c.fleets[s.job.record.Service].Pace()
}
