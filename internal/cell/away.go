package cell

import (
	"cmp"
	"slices"
	"time"

	"gentianstand/internal/job"
)

// longAway is from when on a lasting task that is not at work is told to operators: a start
// with a question to the adviser is over before.
const longAway = 3 * time.Second

// DownTask describes a lasting task that is not at work.
type DownTask struct {
	Task    job.TaskID
	Reason  DownReason
	DownFor time.Duration
	// Run and Worker are those of its run, if it has one.
	Run    uint64
	Worker string
	// WorkersWithCapacity is how many workers could hold the task beside what they have.
	WorkersWithCapacity int
}

// DownTasks returns how many lasting tasks have not been at work for long, and those that have
// been away longest, at most most.
func (c *Cell) DownTasks(most int, now time.Time) (list []DownTask, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tasks := c.awayTasks(now)
	slices.SortFunc(tasks, func(a, b *task) int {
		return cmp.Or(c.lastAtWork(a).Compare(c.lastAtWork(b)), cmp.Compare(a.id().String(), b.id().String()))
	})
	room := c.newRoom(now)
	for _, t := range tasks[:min(len(tasks), most)] {
		list = append(list, c.explainAway(t, room, now))
	}
	return list, len(tasks)
}

// awayTasks returns the lasting tasks that have not been at work for long.
func (c *Cell) awayTasks(now time.Time) []*task {
	var away []*task
	for _, j := range c.active {
		for _, s := range j.stages {
			if !s.step.LongRunning || !s.predecessorsDone() {
				continue
			}
			for _, t := range s.tasks {
				if !t.done && now.Sub(c.lastAtWork(t)) >= longAway {
					away = append(away, t)
				}
			}
		}
	}
	return away
}

func (c *Cell) explainAway(t *task, room *room, now time.Time) DownTask {
	away := DownTask{Task: t.id(), Reason: c.awayReason(t, room, now), DownFor: now.Sub(c.lastAtWork(t)), WorkersWithCapacity: c.roomy(t.stage)}
	if len(t.attempts) > 0 {
		away.Run, away.Worker = t.attempts[0].run, t.attempts[0].worker.ID
	}
	return away
}

// lastAtWork returns when a lasting task was last seen at work, or could first have been.
func (c *Cell) lastAtWork(t *task) time.Time {
	first := t.stage.job.record.AcceptedAt
	for _, at := range []time.Time{c.began, t.stage.job.record.DueAt(t.stage.id.Occurrence), t.workedAt} {
		if at.After(first) {
			first = at
		}
	}
	return first
}

// noteAtWork takes in that a run was reported at some percentage.
func (c *Cell) noteAtWork(a *attempt, percent int, now time.Time) {
	t := a.task
	if !t.stage.step.LongRunning || percent < atWork {
		return
	}
	if away := now.Sub(c.lastAtWork(t)); away >= longAway && a.percent < atWork {
		c.log.WithFields(attemptFields(a)).WithField("away_ms", away.Milliseconds()).Info("lasting_task_back")
	}
	t.workedAt = now
}

// awayReason finds out why a lasting task is not at work.
func (c *Cell) awayReason(t *task, room *room, now time.Time) DownReason {
	if len(t.attempts) > 0 {
		return t.attempts[0].whyNotAtWork()
	}
	s := t.stage
	switch {
	case c.heldBack(s):
		return RunUnconfirmed
	case t.pauses(now):
		return CrashBackoff
	case c.heldByQuota(s) != "":
		return HeldByQuota
	case c.roomy(s) == 0:
		return CapacityExhausted
	case len(c.fitting(s, room, now)) > 0:
		return CapacityAvailable
	case s.advice.asking:
		return AdvicePending
	}
	return c.passedOver(s, room, now)
}

// passedOver finds out why no worker with room takes a stage.
func (c *Cell) passedOver(s *stage, room *room, now time.Time) DownReason {
	need := s.step.Occupied()
	usable, open := 0, 0
	for _, w := range room.usable {
		if !need.Fits(w.free()) || !c.mayRunNear(s, w) {
			continue
		}
		usable++
		if w.openTo(s.job) && c.leftFor(s, w, now) {
			open++
		}
	}
	switch {
	case usable == 0:
		return WorkersUnavailable
	case open == 0:
		return ReservedForOthers
	}
	return NoTicket
}

// roomy counts the workers that may run a stage and have room for a task of it.
func (c *Cell) roomy(s *stage) int {
	n := 0
	for _, w := range c.workers {
		if s.step.Occupied().Fits(w.free()) && c.mayRunNear(s, w) {
			n++
		}
	}
	return n
}

// whyNotAtWork tells why a task with a run is not at work.
func (a *attempt) whyNotAtWork() DownReason {
	switch {
	case a.inherited:
		return RunUnconfirmed
	case a.phase == stopping:
		return RunStopping
	case !a.worker.failingAt.IsZero():
		return WorkerUnresponsive
	}
	return RunStarting
}
