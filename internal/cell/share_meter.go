package cell

import (
	"math"
	"time"

	"gentianstand/internal/admission"
	"gentianstand/internal/fairness"
	"gentianstand/internal/resource"
)

const (
	// arrivalWindow is the time over which the arrivals of work are averaged. It is longer than
	// the gaps between wide jobs, and shorter than a burst.
	arrivalWindow = 5 * time.Second
	// capacityPeriod is how often the capacity by which jobs are measured is summed up.
	capacityPeriod = time.Second
)

// arrivalKey identifies a stream of jobs.
type arrivalKey struct {
	service   string
	priority  int
	overShare bool
}

// arrivalRate is a decaying sum of work, in time of all workers.
type arrivalRate struct {
	sum float64
	at  time.Time
}

// shareMeter measures new jobs against the capacity.
type shareMeter struct {
	capacity   map[string]resource.Amount
	capacityAt time.Time
	arrivals   map[arrivalKey]*arrivalRate
	// latest is the latest acceptance.
	latest time.Time
}

// room returns how long all workers of its service need for a job.
func (m *shareMeter) room(j *jobState) time.Duration {
	capacity, known := m.capacity[j.record.Service]
	if !known || capacity.IsZero() {
		return 0
	}
	return admission.WorkOf(j.record).On(capacity)
}

// count adds a job to the arrivals.
func (m *shareMeter) count(j *jobState, overShare bool, room time.Duration) {
	key, at := arrivalKey{j.record.Service, j.record.Priority, overShare}, j.record.AcceptedAt
	r := m.arrivals[key]
	if r == nil {
		r = &arrivalRate{at: at}
		if m.arrivals == nil {
			m.arrivals = map[arrivalKey]*arrivalRate{}
		}
		m.arrivals[key] = r
	}
	r.sum = r.sumAt(at) + room.Seconds()
	if at.After(r.at) {
		r.at = at
	}
	if at.After(m.latest) {
		m.latest = at
	}
}

func (r *arrivalRate) sumAt(at time.Time) float64 {
	return r.sum * math.Exp(-max(0, at.Sub(r.at).Seconds())/arrivalWindow.Seconds())
}

// rate returns the part of a service's capacity that arriving work takes that runs before work of a
// priority beyond a share, at the latest acceptance: that within shares, and all more urgent work.
func (m *shareMeter) rate(service string, priority int) float64 {
	sum := 0.0
	for key, r := range m.arrivals {
		if key.service == service && (key.priority < priority || key.priority == priority && !key.overShare) {
			sum += r.sumAt(m.latest)
		}
	}
	return sum / arrivalWindow.Seconds()
}

// mayUseShare reports whether a job is measured. Ended jobs count as long as their tasks are known:
// a share that they have used must not be full again for the next owner.
func (c *Cell) mayUseShare(j *jobState) bool {
	return c.enabled(FairShares) && (j.account != nil || c.enabled(WorkspaceAdmission)) && (j.final == "" || c.enabled(WorkspaceAdmission))
}

// takeShare measures a job against the share of its workspace, and reports whether it is within it.
// The order of work counts jobs alone: by room, the urgent jobs of a workspace would wait for its
// heavy ones.
func (c *Cell) takeShare(j *jobState) bool {
	within := j.account == nil || j.account.Bucket.Take(j.account.Weight, j.record.AcceptedAt)
	if c.enabled(WorkspaceAdmission) {
		room := c.shares.room(j)
		c.takeAdmitted(j, room)
		c.shares.count(j, !within, room)
	}
	return within
}

// takeAdmitted measures a job, in number and in the room that it takes, for the admission of further
// jobs.
func (c *Cell) takeAdmitted(j *jobState, room time.Duration) {
	account, at := j.account, j.record.AcceptedAt
	if account == nil || account.Weight <= 0 {
		return
	}
	account.Admitted.Depth = fairness.ShareDepth
	part := c.quotas.PartOf(account)
	if account.Room.Left(part, at) > 0 && account.Admitted.Take(account.Weight, at) {
		account.Room.Take(part, room, at)
	}
}

// measureCapacity sums up the capacity of each service by which jobs are measured.
func (c *Cell) measureCapacity(now time.Time) {
	if c.shares.capacity != nil && now.Sub(c.shares.capacityAt) < capacityPeriod {
		return
	}
	c.shares.capacity, c.shares.capacityAt = map[string]resource.Amount{}, now
	for service, p := range c.pools() {
		c.shares.capacity[service] = p.capacity
	}
}
