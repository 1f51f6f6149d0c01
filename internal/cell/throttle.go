package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/runner"
)

const (
	// tailThreshold is the share of its target at which a serving task's tail makes
	// fillers beside it slow down. The reported tail is rough and half a second
	// old, and load on it changes within seconds.
	tailThreshold = 0.8
	// slowDownFactor and paceUp are the steps of the feedback: down fast, because a
	// target missed for seconds is harm, up slowly, because the tail follows late.
	slowDownFactor = 0.5
	speedUpStep    = 15
	// throttleInterval is the time between two steps: an order needs 100 ms to take
	// effect, and the report covers half a second.
	throttleInterval = 700 * time.Millisecond
)

// throttleBestEffort slows the filling tasks of a worker while a serving task there
// comes near its tail target, and lets them go faster while none does.
func (c *Cell) throttleBestEffort(w *worker, now time.Time) {
	worst := 0.0
	for a := range w.attempts {
		if target := a.task.stage.step.TailLatencyTarget; target > 0 && a.phase == running {
			worst = max(worst, a.tailLatencyMillis/float64(target.Milliseconds()))
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

// nextSpeed is the feedback rule: above the target all filling stops, near it it
// halves, and well below it it grows.
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

// restoreSpeed lets fillers go on at full speed where no serving task is left.
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
