package cell

import "slices"

// meterJobs measures new jobs against the shares of their workspaces, in the order of their
// acceptance. After a takeover these are all jobs that are stored, so that the shares are as used
// as they were under the previous owner. A job that was accepted under a later configuration than
// the one known here is measured once that is known.
func (c *Cell) meterJobs() {
	slices.SortFunc(c.unmeteredJobs, func(a, b *jobState) int { return a.record.AcceptedAt.Compare(b.record.AcceptedAt) })
	var later []*jobState
	for _, j := range c.unmeteredJobs {
		if j.account != nil && j.record.CatalogVersion > c.quotas.Version() {
			later = append(later, j)
			continue
		}
		if within := c.takeShare(j); j.account != nil {
			j.overShare = !within
		}
	}
	c.unmeteredJobs = later
}
