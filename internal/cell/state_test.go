package cell

import "gentianstand/internal/job"

// State returns the state part of Status.
func (c *Cell) State(id string) (job.State, bool) {
	status, ok := c.Status(id)
	return status.State, ok
}
