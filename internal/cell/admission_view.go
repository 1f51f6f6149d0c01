package cell

import (
	"cmp"
	"slices"
	"time"

	"gentianstand/internal/admission"
	"gentianstand/internal/jobmemory"
)

const (
	// viewPeriod is how often the admission view is recomputed. That visits every stage that is
	// not done.
	viewPeriod = 250 * time.Millisecond
	// maxViewShares bounds the shares in a view, which is sent with every answer to a notification:
	// 100 answers a second of 24 shares of 30 bytes are 0.6 Mbit/s.
	maxViewShares = 24
)

// AdmissionView returns the state by which instances decide on new jobs. Backlogs are at most
// viewPeriod old, and shares are current.
func (c *Cell) AdmissionView(now time.Time) admission.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.admissionViewAt) >= viewPeriod {
		c.admissionViewAt = now
		c.admissionView = c.newAdmissionView(now)
	}
	view := c.admissionView
	view.Age, view.Arrivals = now.Sub(c.admissionViewAt), c.arrivals
	if len(view.Backlogs) > 0 {
		c.meterJobs()
		view.Shares = c.usedShares(now.Add(-view.Age))
	}
	return view
}

// Backlogs returns the backlogs of services whose workers are full.
func (c *Cell) Backlogs(now time.Time) []admission.Backlog { return c.AdmissionView(now).Backlogs }

// newAdmissionView computes the view. Unresponsive and parked workers count as capacity: otherwise
// an owner that has reached only a few workers would cause submissions to be refused. For the same
// reason an owner without workers reports nothing.
func (c *Cell) newAdmissionView(now time.Time) admission.View {
	view := admission.View{Term: c.settings.Term, Jobs: c.jobMemory()}
	if c.recovering && !c.enabled(WorkspaceAdmission) {
		return view
	}
	c.measureCapacity(now)
	c.meterJobs()
	pools := c.pools()
	for _, j := range c.active {
		if p := pools[j.record.Service]; p != nil && (c.recovering || p.full()) {
			c.addWork(p, j, now)
		}
	}
	for service, p := range pools {
		view.Loads = append(view.Loads, admission.Load{Service: service, Capacity: p.capacity})
		if c.contended(p) {
			view.Backlogs = append(view.Backlogs, p.backlogs(service, &c.shares)...)
		}
	}
	return view
}

// jobMemory returns what the jobs that have not ended take.
func (c *Cell) jobMemory() jobmemory.Usage {
	usage := jobmemory.Usage{Limit: c.settings.JobBytesLimit}
	for _, j := range c.active {
		usage = usage.Plus(j.memoryBytes)
	}
	return usage
}

// contended reports whether new work of a service has to wait. Until all workers have reported, what
// they run is not known; the work is then contended if not all of it can run at once.
func (c *Cell) contended(p *pool) bool {
	if c.recovering {
		return !p.ready.Fits(p.total)
	}
	return p.full()
}

// usedShares returns what is left of the shares that are used up, those with least work left first.
func (c *Cell) usedShares(now time.Time) []admission.Share {
	var list []admission.Share
	if !c.enabled(WorkspaceAdmission) || !c.enabled(FairShares) {
		return nil
	}
	for name, a := range c.quotas.Accounts() {
		if a.Weight <= 0 {
			continue
		}
		share := admission.Share{Workspace: name, Jobs: a.Admitted.Left(a.Weight, now), Work: a.Room.Left(c.quotas.PartOf(a), now)}
		if share.Jobs < 1 || share.Work <= 0 {
			list = append(list, share)
		}
	}
	slices.SortFunc(list, func(a, b admission.Share) int {
		return cmp.Or(cmp.Compare(a.Work, b.Work), cmp.Compare(a.Workspace, b.Workspace))
	})
	return list[:min(len(list), maxViewShares)]
}

// usedShare returns the used share of the scarcest resource.
func (p *pool) usedShare() float64 {
	share := func(used, all int64) float64 { return float64(used) / float64(max(1, all)) }
	return max(share(p.used.MilliCPU, p.total.MilliCPU), share(p.used.MemoryMiB, p.total.MemoryMiB),
		share(p.used.Accelerators, p.total.Accelerators))
}
