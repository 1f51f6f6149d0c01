package cell

import (
	"sort"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/resource"
)

// longWaitAfter is how long a stage must have had tasks to place to be told to
// operators: an ordinary wait for room or for slow advice is over before.
const longWaitAfter = 8 * time.Second

// LongWait describes a stage that has waited for long.
type LongWait struct {
	Stage     job.StageID
	Queue     string
	Workspace string
	Reason    WaitReason
	Waited    time.Duration
	// Idle is how many of the Tasks wait, Need what each of them takes.
	Idle, Tasks int
	Need        resource.Amount
	// Feasible is how many workers could hold a task when idle, Denied how many of them
	// the adviser refused, and Unknown of how many it was not asked.
	Feasible, Denied, Unknown int
	// TaskCapacity is how many tasks the able workers that are not denied hold when idle.
	TaskCapacity int
}

// Impossible reports whether the wait cannot end with the workers that are known.
func (l *LongWait) Impossible() bool {
	return l.Reason != WaitsForCapacity && l.Reason != OverQuota && l.Reason != CatalogBehind
}

// LongWaits returns the stages that have waited for long, impossible ones first, then
// those with the longest wait.
func (c *Cell) LongWaits(now time.Time) []LongWait {
	c.mu.Lock()
	defer c.mu.Unlock()
	var waits []LongWait
	for s := range c.waiting {
		if !s.readyAt.IsZero() && now.Sub(s.readyAt) >= longWaitAfter {
			waits = append(waits, c.describeWait(s, now))
		}
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

// describeWait finds out why a stage waits.
func (c *Cell) describeWait(s *stage, now time.Time) LongWait {
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
		case !verdict.good:
			l.Denied++
			continue
		}
		l.TaskCapacity += s.capacityWhenIdle(w)
	}
	l.Reason = l.reason(s.step.Gang)
	if held := c.heldByQuota(s); held != "" && l.Reason == WaitsForCapacity {
		l.Reason = held
	}
	return l
}

// capacityWhenIdle returns how many of the stage's tasks an idle worker holds.
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
