package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/runner"
)

const (
	// tailThreshold is the share of its target at which a latency-sensitive task's tail
	// latency causes best-effort tasks on its worker to be throttled. The reported value is
	// rough and half a second old, and the load changes within seconds.
	tailThreshold = 0.8
	// slowDownFactor and speedUpStep are the steps of the feedback loop. It slows down fast,
	// because missing a target for seconds does harm, and speeds up slowly, because the tail
	// latency reacts late.
	slowDownFactor = 0.5
	speedUpStep    = 15
	// throttleInterval is the time between two steps. An order takes 100 ms to take effect,
	// and a report covers half a second.
	throttleInterval = 700 * time.Millisecond
)

// throttleBestEffort throttles the best-effort tasks of a worker while a latency-sensitive
// task there is close to its tail latency target, and speeds them up otherwise.
func (c *Cell) throttleBestEffort(w *worker, now time.Time) {
	worst := 0.0
	for a := range w.attempts {
		if target := a.task.stage.step.TailLatencyTarget; target > 0 && a.phase == running {
			worst = max(worst, a.gauge/float64(target.Milliseconds()))
		}
	}
	for a := range w.attempts {
		if !a.task.stage.step.BestEffort || a.phase != running || now.Sub(a.throttledAt) < throttleInterval {
			continue
		}
		next := nextSpeed(a.speedPercent, worst)
		if next != a.speedPercent {
			c.sendThrottle(a, next, worst, now)
		}
	}
}

// nextSpeed is the feedback rule: at or above the target best-effort tasks are suspended, near
// it their speed is halved, and well below it their speed increases.
func nextSpeed(speed int, worst float64) int {
	switch {
	case speed < 0:
		return 0
	case worst >= 1:
		return 0
	case worst >= tailThreshold:
		return int(float64(speed) * slowDownFactor)
	case worst < tailThreshold*0.75:
		return min(100, speed+speedUpStep)
	}
	return speed
}

// restoreSpeed lets best-effort tasks run at full speed when no latency-sensitive task is left
// on the worker.
func (c *Cell) restoreSpeed(w *worker, now time.Time) {
	for a := range w.attempts {
		if a.task.stage.step.BestEffort && a.phase == running && a.speedPercent != 100 && now.Sub(a.throttledAt) >= throttleInterval {
			c.sendThrottle(a, 100, 0, now)
		}
	}
}

func (c *Cell) sendThrottle(a *attempt, percent int, worst float64, now time.Time) {
	c.log.WithFields(attemptFields(a)).WithFields(logrus.Fields{"pace": percent, "tail_share": worst}).Debug("run_paced")
	a.speedPercent = percent
	a.throttledAt = now
	c.orders = append(c.orders, ThrottleOrder{Worker: a.worker.target, Task: a.task.id(),
		Throttle: runner.Throttle{Task: a.task.id().String(), Run: a.run, Token: c.settings.Term, Percent: percent}})
}
