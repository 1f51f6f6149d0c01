package cell

import (
	"time"

	"github.com/sirupsen/logrus"
)

// inheritedStartsLogged is how long after a takeover the first starts of inherited stages are
// logged. Stages that were held back are logged whenever they start.
const inheritedStartsLogged = 10 * time.Second

// waitsHeldBack reports whether a due stage is held back, and measures its wait if it is inherited.
func (c *Cell) waitsHeldBack(s *stage, now time.Time) bool {
	held := c.heldBack(s)
	if s.job.inherited {
		s.inheritedWait.due(c.placings, held, now)
	}
	return held
}

// logInheritedStart logs the first start of a stage of an older job that this owner orders, so that
// the waits after a takeover are known, and which part of them holding back has caused.
func (c *Cell) logInheritedStart(s *stage, now time.Time) {
	wait := &s.inheritedWait
	if !s.job.inherited || wait.over {
		return
	}
	wait.over = true
	sinceTakeover := now.Sub(c.startedAt)
	if wait.heldFor == 0 && sinceTakeover >= inheritedStartsLogged {
		return
	}
	c.log.WithFields(logrus.Fields{
		"stage": s.id.String(), "after_takeover_ms": sinceTakeover.Milliseconds(),
		"ready_ms": now.Sub(wait.since).Milliseconds(), "held_back_ms": wait.heldFor.Milliseconds(),
	}).Info("inherited_stage_started")
	if c.settings.ObserveHeldBack != nil && wait.heldFor > 0 {
		c.settings.ObserveHeldBack(wait.heldFor)
	}
}
