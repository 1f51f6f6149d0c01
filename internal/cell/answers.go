package cell

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// StartAnswered handles the result of a start order. Every accounted run belongs to the
// worker's current incarnation, because a restart drops all others.
func (c *Cell) StartAnswered(o StartOrder, answer runner.Answer, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.findAttempt(o.Task, o.Worker.ID, o.Start.Run)
	if a == nil {
		return
	}
	a.worker.updateClockFromAnswer(answer, now)
	var refusal *runner.Refusal
	switch {
	case err == nil:
		c.startConfirmed(a, now)
	case errors.As(err, &refusal):
		c.startRefused(a, refusal, now)
	case errors.Is(err, runner.ErrIncarnationGone):
		// The worker's next poll also fails with ErrIncarnationGone, and then drops all its runs.
		c.drop(a, "worker_replaced", now)
	default:
		c.log.WithFields(attemptFields(a)).WithError(err).Info("start_unanswered")
		c.stop(a, "start_unanswered", now)
	}
}

func (c *Cell) startConfirmed(a *attempt, now time.Time) {
	if a.phase == ordered {
		a.phase = running
	}
	if a.confirmedAt.IsZero() {
		a.confirmedAt = now
		a.progressedAt = now
		c.speedOfStart(a)
		c.observeWait(a.task, now)
	}
	a.task.stage.job.started = true
}

// observeWait reports, once per task, how long the task waited for its first start.
func (c *Cell) observeWait(t *task, now time.Time) {
	if t.startConfirmed {
		return
	}
	t.startConfirmed = true
	if c.settings.ObserveWait != nil && !t.stage.readyAt.IsZero() {
		c.settings.ObserveWait(t.stage.job.record.Priority, now.Sub(t.stage.readyAt))
	}
}

// startRefused handles a start that the worker refused. The run does not exist, unless the
// start was sent before: the first request may still arrive after the repeated one was
// refused. A repeated start is therefore revoked.
func (c *Cell) startRefused(a *attempt, refusal *runner.Refusal, now time.Time) {
	c.log.WithFields(attemptFields(a)).WithFields(logrus.Fields{"reason": refusal.Reason, "repeated": refusal.Repeated}).Info("start_refused")
	s := a.task.stage
	switch refusal.Reason {
	case runner.BadTicket:
		s.advice.expire(a.worker)
		c.stats.TicketsRefused++
	case runner.Unhealthy, runner.InsufficientCapacity:
		a.worker.health.refused(now)
	case runner.RunTooOld:
		// The worker knows this run or one with a higher number. A report will list it.
		c.stop(a, "run_too_old", now)
		return
	}
	if refusal.Repeated {
		c.stop(a, "refused_when_repeated", now)
		return
	}
	c.drop(a, "refused_"+string(refusal.Reason), now)
}

// StopAnswered handles the result of a stop order. watch repeats a stop that was not answered.
func (c *Cell) StopAnswered(o StopOrder, answer runner.Answer, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.findAttempt(o.Task, o.Worker.ID, o.Stop.Run)
	if a == nil {
		if w := c.workers[o.Worker.ID]; w != nil && err == nil {
			delete(w.unrevoked, runKey{o.Stop.Task, o.Stop.Run})
		}
		return
	}
	a.worker.updateClockFromAnswer(answer, now)
	if err == nil {
		a.stopAnsweredAt = now
	}
}

// ThrottleAnswered handles the result of a throttle order.
func (c *Cell) ThrottleAnswered(o ThrottleOrder, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.findAttempt(o.Task, o.Worker.ID, o.Throttle.Run); a != nil && err != nil {
		// The speed is unknown: send the order again.
		a.speedPercent = -1
		a.throttledAt = now
	}
}

func (c *Cell) findAttempt(id job.TaskID, workerID string, run uint64) *attempt {
	w := c.workers[workerID]
	t := c.taskByID(id)
	if w == nil || t == nil {
		return nil
	}
	return t.find(w, run)
}
