package cell

import "slices"

// meterJobs measures new jobs against the shares of their workspaces, in the order of their
// acceptance. After a takeover these are all jobs that have not ended.
func (c *Cell) meterJobs() {
	slices.SortFunc(c.unmeteredJobs, func(a, b *jobState) int { return a.record.AcceptedAt.Compare(b.record.AcceptedAt) })
	for _, j := range c.unmeteredJobs {
		j.overShare = !j.account.Bucket.Take(j.account.Weight, j.record.AcceptedAt)
	}
	c.unmeteredJobs = nil
}
