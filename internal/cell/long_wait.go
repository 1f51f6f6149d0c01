package cell

import (
	"sort"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/resource"
)

// longWaitAfter is how long a stage must have had tasks to place to be reported to operators.
// A normal wait for free capacity or a slow adviser call takes less.
const longWaitAfter = 8 * time.Second

// LongWait describes a stage that has been waiting for at least longWaitAfter.
type LongWait struct {
	Stage     job.StageID
	Queue     string
	Workspace string
	Reason    WaitReason
	Waited    time.Duration
	// Idle of the Tasks are waiting, and each of them occupies Need.
	Idle, Tasks int
	Need        resource.Amount
	// Feasible is the number of workers that could run a task when idle. The adviser denied
	// Denied of them and was not asked about Unknown of them.
	Feasible, Denied, Unknown int
	// TaskCapacity is the number of tasks that fit on the feasible workers that were not
	// denied, when they are idle.
	TaskCapacity int
}

// Impossible reports whether the wait cannot end with the known workers.
func (l *LongWait) Impossible() bool {
	return l.Reason != WaitsForCapacity && l.Reason != WaitsForTicket && l.Reason != OverQuota && l.Reason != CatalogBehind
}

// LongWaits returns the stages that have been waiting for at least longWaitAfter: impossible
// ones first, then by the length of the wait.
func (c *Cell) LongWaits(now time.Time) []LongWait {
	c.mu.Lock()
	defer c.mu.Unlock()
	var waits []LongWait
	var view *planView
	for s := range c.waiting {
		if s.readyAt.IsZero() || now.Sub(s.readyAt) < longWaitAfter {
			continue
		}
		if view == nil {
			view = c.newPlanView(now)
		}
		waits = append(waits, c.describeWait(s, view, now))
	}
	sort.Slice(waits, func(i, k int) bool {
		a, b := &waits[i], &waits[k]
		switch {
		case a.Impossible() != b.Impossible():
			return a.Impossible()
		case a.Waited != b.Waited:
			return a.Waited > b.Waited
		}
		return a.Stage.Job < b.Stage.Job
	})
	return waits
}

// describeWait determines why a stage is waiting.
func (c *Cell) describeWait(s *stage, view *planView, now time.Time) LongWait {
	l := LongWait{Stage: s.id, Queue: s.job.record.Queue, Workspace: s.job.record.Workspace, Waited: now.Sub(s.readyAt),
		Idle: len(s.idle), Tasks: len(s.tasks), Need: s.step.Occupied()}
	for _, w := range c.workers {
		if !c.fitsWhenIdle(s, w) {
			continue
		}
		l.Feasible++
		verdict, known := s.advice.verdictFor(w)
		switch {
		case s.job.record.Advice == nil:
		case !known:
			l.Unknown++
		case !verdict.approved:
			l.Denied++
			continue
		}
		l.TaskCapacity += s.capacityWhenIdle(w)
	}
	l.Reason = l.reason(s.step.Gang)
	if l.Reason != WaitsForCapacity {
		return l
	}
	if held := c.heldByQuota(s); held != "" {
		l.Reason = held
	} else if c.lacksTicket(s, view, now) {
		l.Reason = WaitsForTicket
	}
	return l
}

// lacksTicket reports whether workers have free capacity for a task of the stage, and whether the stage
// would need a ticket for each of them.
func (c *Cell) lacksTicket(s *stage, view *planView, now time.Time) bool {
	need := s.step.Occupied()
	if s.job.record.Advice == nil || !need.Fits(view.maxFree) || !view.allowsCPU(s, need.MilliCPU) {
		return false
	}
	lacks := false
	for _, w := range view.usable {
		if !need.Fits(w.free()) || !c.eligible(s, w) || !w.acceptsJob(s.job) || !c.allowedByReservation(s, w, now) {
			continue
		}
		v, known := s.advice.verdictFor(w)
		if v.approved && now.Before(v.expiresAt) {
			return false
		}
		lacks = lacks || !known || v.approved
	}
	return lacks
}

// capacityWhenIdle returns how many of the stage's tasks fit on an idle worker.
func (s *stage) capacityWhenIdle(w *worker) int {
	limit := len(s.tasks)
	if s.step.MaxPerWorker > 0 {
		limit = min(limit, s.step.MaxPerWorker)
	}
	return int(s.step.Occupied().CountIn(w.Capacity, int64(limit)))
}

func (l *LongWait) reason(gang bool) WaitReason {
	switch {
	case l.Feasible == 0:
		return NoWorkerFits
	case l.Feasible == l.Denied:
		return AllWorkersDenied
	case gang && l.TaskCapacity < l.Tasks:
		return GangTooLarge
	}
	return WaitsForCapacity
}
