package cell

import "gentianstand/internal/job"

// State is Status for tests that ask for the state alone.
func (c *Cell) State(id string) (job.State, bool) {
	status, ok := c.Status(id)
	return status.State, ok
}
