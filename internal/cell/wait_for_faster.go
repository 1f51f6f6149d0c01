package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/slack"
)

const (
	// releasesPeriod is how often the expected ends of runs are collected while they are needed.
	// That visits every run.
	releasesPeriod = 50 * time.Millisecond
	// overdueShare is the share of its age for which an overdue run is expected to continue.
	overdueShare = 0.1
)

// waitsForFaster reports whether the idle tasks of a stage wait for faster workers instead of
// starting on a free worker on which the stage may be late. A stage ends with its slowest task,
// so tasks do not wait once another one was started on a worker as slow.
func (c *Cell) waitsForFaster(s *stage, w *worker, tasks int, view *planView, now time.Time) bool {
	if !s.preference.MayBeLate(w.speedClass) || s.startedLate && s.startedLateOn >= w.speedClass {
		return false
	}
	wait := c.fasterWait(s, w, tasks, view, now)
	expected, ok := wait.Expected()
	if !ok {
		return false
	}
	if s.fasterWaitSince.IsZero() {
		s.fasterWaitSince, s.fasterWaitExpected = now, expected
		c.stats.FasterWaits++
	}
	return true
}

// fasterWait returns the choice between starting tasks of a stage on a worker and waiting.
func (c *Cell) fasterWait(s *stage, w *worker, tasks int, view *planView, now time.Time) slack.Wait {
	c.collectReleases(now)
	wait := slack.Wait{
		Work: c.slackWork(s, now), Fleet: c.fleets[s.job.record.Service], Releases: &c.releases, Free: w.speedClass,
		MilliCPU: int64(tasks) * s.step.Occupied().MilliCPU, Ahead: view.queuedMilliCPU,
	}
	if !s.fasterWaitSince.IsZero() {
		wait.Waited = now.Sub(s.fasterWaitSince)
	}
	for _, other := range c.allowed(s, view, now) {
		if other.speedClass < w.speedClass && c.fitsWhenIdle(s, other) {
			wait.Usable.Add(other.speedClass, other.Capacity.MilliCPU)
		}
	}
	return wait
}

// collectReleases updates the expected ends of all runs if they are older than releasesPeriod.
func (c *Cell) collectReleases(now time.Time) {
	if now.Sub(c.releasesAt) < releasesPeriod {
		return
	}
	c.releasesAt = now
	c.releases.Reset()
	for _, w := range c.workers {
		for a := range w.attempts {
			overdue := time.Duration(overdueShare * float64(a.elapsed(now)))
			c.releases.Add(w.speedClass, max(overdue, c.likelyRemaining(a, now)), a.task.stage.step.Occupied().MilliCPU)
		}
	}
}

// recordSpeed counts the start of a task by its stage's preference, and logs a wait for faster
// workers that ends with it.
func (c *Cell) recordSpeed(s *stage, w *worker, now time.Time) {
	if s.preference == (slack.Order{}) {
		return
	}
	if s.preference.MayBeLate(w.speedClass) {
		s.recordLateStart(w.speedClass)
		c.stats.LittleSlackStarts++
	} else {
		c.stats.SlackStarts++
	}
	if s.fasterWaitSince.IsZero() || s.fasterWaitLogged {
		return
	}
	s.fasterWaitLogged = true
	c.log.WithFields(logrus.Fields{"stage": s.id.String(), "queue": s.job.record.Queue, "worker": w.ID, "factor": c.speedFactor(w),
		"expected_ms": s.fasterWaitExpected.Milliseconds(), "waited_ms": now.Sub(s.fasterWaitSince).Milliseconds()}).Info("stage_waited_for_faster")
}

// recordLateStart records a start on a class on which the stage has no slack.
func (s *stage) recordLateStart(on slack.Class) {
	if !s.startedLate || on > s.startedLateOn {
		s.startedLate, s.startedLateOn = true, on
	}
}
