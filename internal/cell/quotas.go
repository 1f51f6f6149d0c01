package cell

import (
	"cmp"
	"slices"
	"time"

	"gentianstand/internal/catalog"
	"gentianstand/internal/quota"
	"gentianstand/internal/resource"
)

// Configure applies the quotas of the configuration in force.
func (c *Cell) Configure(current *catalog.Catalog) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quotas.Configure(current)
}

// startable returns how many idle tasks of a stage may start now under the quota of its
// workspace. A job that was accepted under a later configuration than the one known here waits
// for that configuration, as its workspace may be new or have a different cap.
func (c *Cell) startable(s *stage) int {
	account := s.job.account
	if account == nil {
		return len(s.idle)
	}
	if s.job.record.CatalogVersion > c.quotas.Version() {
		return 0
	}
	if !s.step.Gang {
		return account.Startable(s.step.Need, len(s.idle))
	}
	if account.Startable(s.gangNeed(), 1) == 0 || !account.FitsCap(s.gangNeed()) {
		return 0
	}
	return len(s.idle)
}

// heldByQuota returns why the quota of its workspace prevents all starts of a stage now, or ""
// if it does not.
func (c *Cell) heldByQuota(s *stage) WaitReason {
	switch {
	case len(s.idle) == 0 || c.startable(s) > 0:
		return ""
	case s.job.record.CatalogVersion > c.quotas.Version():
		return CatalogBehind
	case s.step.Gang && !s.job.account.FitsCap(s.gangNeed()):
		return QuotaTooSmall
	}
	return OverQuota
}

// QuotaWaits returns the workspaces with tasks that wait for their quota, those with most
// waiting tasks first.
func (c *Cell) QuotaWaits(now time.Time) []QuotaWait {
	c.mu.Lock()
	defer c.mu.Unlock()
	waits := map[*quota.Account]*QuotaWait{}
	for s := range c.waiting {
		account := s.job.account
		if account == nil || !s.due(now, c.settings.EarlyStart) || c.heldByQuota(s) == "" {
			continue
		}
		if waits[account] == nil {
			waits[account] = &QuotaWait{Workspace: account.Workspace, Used: account.Used, Unconfirmed: account.Unconfirmed, Cap: account.Cap, Version: c.quotas.Version()}
		}
		waits[account].Tasks += len(s.idle)
	}
	list := make([]QuotaWait, 0, len(waits))
	for _, w := range waits {
		list = append(list, *w)
	}
	slices.SortFunc(list, func(a, b QuotaWait) int {
		return cmp.Or(cmp.Compare(b.Tasks, a.Tasks), cmp.Compare(a.Workspace, b.Workspace))
	})
	return list
}

// gangNeed returns what all tasks of a gang need together.
func (s *stage) gangNeed() resource.Amount { return s.step.Need.Times(int64(len(s.tasks))) }

// countUnconfirmed computes what each workspace may have running on workers that have not
// reported to this owner: at most the capacity of those workers, and, once all jobs are known
// that a previous owner can have started, their tasks.
func (c *Cell) countUnconfirmed(now time.Time) {
	accounts := c.quotas.Accounts()
	c.accountsCounted = len(accounts)
	for _, account := range accounts {
		account.Unconfirmed = resource.Amount{}
	}
	if len(accounts) == 0 || now.Sub(c.startedAt) >= c.earlierLeaseLimit() {
		return
	}
	capacity := c.unreportedCapacity(now)
	if capacity.IsZero() {
		return
	}
	if !c.knowsEarlierJobs() {
		for _, account := range accounts {
			account.Unconfirmed = capacity
		}
		return
	}
	for _, j := range c.jobs {
		if j.account != nil && j.inherited && !j.compacted {
			j.account.Unconfirmed = j.account.Unconfirmed.Add(c.unaccounted(j))
		}
	}
	for _, account := range accounts {
		account.Unconfirmed = account.Unconfirmed.Min(capacity)
	}
}

// knowsEarlierJobs reports whether this owner knows all jobs that a previous owner can have
// started. A superseded owner may still be notified of new jobs and start them.
func (c *Cell) knowsEarlierJobs() bool {
	return c.settings.PreviousOwnerStopped || !c.jobsReadAt.Before(c.previousOwnerStopsBy())
}

// unreportedCapacity returns the total capacity of the workers on which a previous owner can
// have started runs that are not accounted.
func (c *Cell) unreportedCapacity(now time.Time) resource.Amount {
	var capacity resource.Amount
	for _, w := range c.workers {
		if !w.mayHaveUncountedRuns() || !now.Before(c.runsOverBy(w)) {
			continue
		}
		if !w.entryIsCurrent() || w.Capacity.IsZero() {
			// The worker's capacity is not known.
			return unknownCapacity
		}
		capacity = capacity.Add(w.Capacity)
	}
	return capacity
}

// unknownCapacity exceeds the capacity of any fleet.
var unknownCapacity = resource.Amount{MilliCPU: 1 << 50, MemoryMiB: 1 << 50, Accelerators: 1 << 50}

// unaccounted returns the need of the runs of a job that a previous owner can have started and
// that are not accounted.
func (c *Cell) unaccounted(j *jobState) resource.Amount {
	var sum resource.Amount
	for _, s := range j.stages {
		if !s.noEarlierRuns {
			sum = sum.Add(s.step.Need.Times(int64(c.unaccountedRuns(s))))
		}
	}
	return sum
}

// unaccountedRuns returns how many runs of a stage a previous owner can have started that are not
// accounted. If tasks may run twice, that includes copies of tasks that run or are done.
func (c *Cell) unaccountedRuns(s *stage) int {
	if !s.step.AllowDuplicates {
		return len(s.idle)
	}
	runs := 0
	for _, t := range s.tasks {
		runs += max(0, maxConcurrentRuns*c.earlierOwners()-t.adoptedRuns())
	}
	return runs
}
