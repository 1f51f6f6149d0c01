package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/job"
)

// downAfter is how long a long-running task must be down to be reported to operators. A normal
// start, including an adviser call, takes less.
const downAfter = 3 * time.Second

const (
	// allSlowSlotsAfter is how long a long-running task must be down to use all slots for slow calls to
	// the adviser, and quickSlotsAfter those of idle instances for quick calls, too.
	allSlowSlotsAfter = 2 * time.Second
	quickSlotsAfter   = 5 * time.Second
)

// DownTask describes a long-running task that is not working.
type DownTask struct {
	Task    job.TaskID
	Reason  DownReason
	DownFor time.Duration
	// OwnerAge is the time since this owner took over. A task with the same DownFor has not worked
	// under this owner, and may be down for longer.
	OwnerAge time.Duration
	// Run and Worker identify the task's run, if it has one.
	Run    uint64
	Worker string
	// WorkersWithCapacity is the number of workers with enough free capacity for the task that
	// are not draining.
	WorkersWithCapacity int
}

// DownTasks returns the long-running tasks that have been down longest, at most limit, and the
// total number of those that have been down for at least downAfter.
func (c *Cell) DownTasks(limit int, now time.Time) (list []DownTask, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tasks := c.downTasks(now)
	slices.SortFunc(tasks, func(a, b *task) int {
		return cmp.Or(c.lastWorking(a).Compare(c.lastWorking(b)), cmp.Compare(a.id().String(), b.id().String()))
	})
	view := c.newPlanView(now)
	for _, t := range tasks[:min(len(tasks), limit)] {
		list = append(list, c.describeDown(t, view, now))
	}
	return list, len(tasks)
}

// downTasks returns the long-running tasks that have been down for at least downAfter.
func (c *Cell) downTasks(now time.Time) []*task {
	var down []*task
	for _, j := range c.active {
		for _, s := range j.stages {
			if !s.step.LongRunning || !s.predecessorsDone() {
				continue
			}
			for _, t := range s.tasks {
				if !t.done && now.Sub(c.lastWorking(t)) >= downAfter {
					down = append(down, t)
				}
			}
		}
	}
	return down
}

func (c *Cell) describeDown(t *task, view *planView, now time.Time) DownTask {
	d := DownTask{Task: t.id(), Reason: c.downReason(t, view, now), DownFor: now.Sub(c.lastWorking(t)), OwnerAge: now.Sub(c.startedAt), WorkersWithCapacity: c.workersWithCapacity(t.stage)}
	if len(t.attempts) > 0 {
		d.Run, d.Worker = t.attempts[0].run, t.attempts[0].worker.ID
	}
	return d
}

// hasTaskDownFor reports whether a long-running task of a stage that worked before has no run and has been
// down for some time. New tasks, and those that were started in vain since they last worked, do not count:
// a burst of new jobs, or tasks that never work, would keep other work from the adviser.
func (c *Cell) hasTaskDownFor(s *stage, d time.Duration, now time.Time) bool {
	return slices.ContainsFunc(s.idle, func(index int) bool {
		t := s.tasks[index]
		worked := c.lastWorking(t)
		return t.mayHaveWorked() && now.Sub(worked) >= d && !t.lastStartAt.After(worked)
	})
}

// mayHaveWorked reports whether a long-running task has worked, under this owner or maybe an earlier one.
func (t *task) mayHaveWorked() bool { return t.stage.job.inherited || !t.lastWorkingAt.IsZero() }

// lastWorking returns when a long-running task last worked, or the earliest time at which it
// could have worked.
func (c *Cell) lastWorking(t *task) time.Time {
	first := t.stage.job.record.AcceptedAt
	for _, at := range []time.Time{c.startedAt, t.stage.job.record.DueAt(t.stage.id.Occurrence), t.lastWorkingAt} {
		if at.After(first) {
			first = at
		}
	}
	return first
}

// recordWorking updates lastWorkingAt from a reported percentage.
func (c *Cell) recordWorking(a *attempt, percent int, now time.Time) {
	t := a.task
	if !t.stage.step.LongRunning || percent < workingPercent {
		return
	}
	if downFor := now.Sub(c.lastWorking(t)); downFor >= downAfter && a.percent < workingPercent {
		c.log.WithFields(attemptFields(a)).WithFields(logrus.Fields{"away_ms": downFor.Milliseconds(),
			"owner_ms": now.Sub(c.startedAt).Milliseconds()}).Info("lasting_task_back")
	}
	t.lastWorkingAt = now
}

// downReason determines why a long-running task is not working.
func (c *Cell) downReason(t *task, view *planView, now time.Time) DownReason {
	if len(t.attempts) > 0 {
		return t.attempts[0].downReason()
	}
	s := t.stage
	switch {
	case c.heldBack(s):
		return RunUnconfirmed
	case t.backsOff(now):
		return CrashBackoff
	case c.heldByQuota(s) != "":
		return HeldByQuota
	case c.workersWithCapacity(s) == 0:
		return CapacityExhausted
	case len(c.fitting(s, view, now)) > 0:
		return CapacityAvailable
	case s.advice.pending:
		return AdvicePending
	}
	return c.whyNotPlaced(s, view, now)
}

// whyNotPlaced determines why no worker with free capacity is chosen for a stage.
func (c *Cell) whyNotPlaced(s *stage, view *planView, now time.Time) DownReason {
	need := s.step.Occupied()
	usable, accepting := 0, 0
	for _, w := range view.usable {
		if !need.Fits(w.free()) || !c.mayRunWhenFree(s, w) {
			continue
		}
		usable++
		if w.acceptsJob(s.job) && c.allowedByReservation(s, w, now) {
			accepting++
		}
	}
	switch {
	case usable == 0 && c.allUnresponsive(s):
		return WorkersUnresponsive
	case usable == 0:
		return WorkersUnavailable
	case accepting == 0:
		return ReservedForOthers
	}
	return NoTicket
}

// allUnresponsive reports whether none of the workers with free capacity for a stage answers.
func (c *Cell) allUnresponsive(s *stage) bool {
	for _, w := range c.workers {
		if w.hasCapacityFor(s) && c.mayRunWhenFree(s, w) && w.unresponsiveSince.IsZero() {
			return false
		}
	}
	return true
}

// workersWithCapacity counts the workers that may run a stage, have free capacity for one of
// its tasks, and are not draining.
func (c *Cell) workersWithCapacity(s *stage) int {
	n := 0
	for _, w := range c.workers {
		if w.hasCapacityFor(s) && c.mayRunWhenFree(s, w) {
			n++
		}
	}
	return n
}

// hasCapacityFor reports whether a worker that stays has free capacity for a task of a stage.
func (w *worker) hasCapacityFor(s *stage) bool {
	return !w.Draining && s.step.Occupied().Fits(w.free())
}

// downReason determines why a task with a run is not working.
func (a *attempt) downReason() DownReason {
	switch {
	case a.inherited:
		return RunUnconfirmed
	case a.phase == stopping:
		return RunStopping
	case !a.worker.unresponsiveSince.IsZero():
		return WorkerUnresponsive
	case a.phase == ordered:
		return RunOrdered
	}
	return RunStarting
}
