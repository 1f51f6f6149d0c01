package cell

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// StartAnswered takes in the result of a start order. A run that is booked is one of the
// worker's present incarnation: a restart drops all others.
func (c *Cell) StartAnswered(o StartOrder, answer runner.Answer, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempt(o.Task, o.Worker.ID, o.Start.Run)
	if a == nil {
		return
	}
	a.worker.sawClockOf(answer, now)
	var refusal *runner.Refusal
	switch {
	case err == nil:
		c.confirmed(a, now)
	case errors.As(err, &refusal):
		c.refused(a, refusal, now)
	case errors.Is(err, runner.ErrIncarnationGone):
		// The worker's next look finds the same and drops all its runs.
		c.drop(a, "worker_replaced", now)
	default:
		c.log.WithFields(attemptFields(a)).WithError(err).Info("start_unanswered")
		c.stop(a, "start_unanswered", now)
	}
}

func (c *Cell) confirmed(a *attempt, now time.Time) {
	if a.phase == ordered {
		a.phase = running
	}
	if a.confirmedAt.IsZero() {
		a.confirmedAt = now
		a.changedAt = now
		c.noteWait(a.task, now)
	}
	a.task.stage.job.started = true
}

// noteWait tells how long a task has waited for its first start.
func (c *Cell) noteWait(t *task, now time.Time) {
	if t.begun {
		return
	}
	t.begun = true
	if c.settings.Waited != nil && !t.stage.readyAt.IsZero() {
		c.settings.Waited(t.stage.job.record.Priority, now.Sub(t.stage.readyAt))
	}
}

// refused takes in that a worker declined a start. The run does not exist, unless the
// start was sent before: the first one may still arrive after the repeat was declined. So
// a repeated start is revoked.
func (c *Cell) refused(a *attempt, refusal *runner.Refusal, now time.Time) {
	c.log.WithFields(attemptFields(a)).WithFields(logrus.Fields{"reason": refusal.Reason, "repeated": refusal.Repeated}).Info("start_refused")
	s := a.task.stage
	switch refusal.Reason {
	case runner.BadTicket:
		s.advice.expire(a.worker)
	case runner.Unhealthy, runner.InsufficientCapacity:
		a.worker.health.refused(now)
	case runner.RunTooOld:
		// The worker knows this run or a higher one, which a report will show.
		c.stop(a, "run_too_old", now)
		return
	}
	if refusal.Repeated {
		c.stop(a, "refused_when_repeated", now)
		return
	}
	c.drop(a, "refused_"+string(refusal.Reason), now)
}

// StopAnswered takes in the result of a stop order. An unanswered one is
// repeated by watch.
func (c *Cell) StopAnswered(o StopOrder, answer runner.Answer, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempt(o.Task, o.Worker.ID, o.Stop.Run)
	if a == nil {
		return
	}
	a.worker.sawClockOf(answer, now)
	if err == nil {
		a.stopAnsweredAt = now
	}
}

// PaceAnswered takes in the result of a pace order.
func (c *Cell) PaceAnswered(o PaceOrder, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.attempt(o.Task, o.Worker.ID, o.Pace.Run); a != nil && err != nil {
		// Unknown: have it sent again.
		a.pace = -1
		a.pacedAt = now
	}
}

func (c *Cell) attempt(id job.TaskID, workerID string, run uint64) *attempt {
	w := c.workers[workerID]
	t := c.task(id)
	if w == nil || t == nil {
		return nil
	}
	return t.find(w, run)
}
