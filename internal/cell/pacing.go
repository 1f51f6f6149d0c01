package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/runner"
)

const (
	// tailSafe is the share of its target at which a serving task's tail makes
	// fillers beside it slow down. The reported tail is rough and half a second
	// old, and load on it changes within seconds.
	tailSafe = 0.8
	// paceDown and paceUp are the steps of the feedback: down fast, because a
	// target missed for seconds is harm, up slowly, because the tail follows late.
	paceDown = 0.5
	paceUp   = 15
	// paceEvery is the time between two steps: an order needs 100 ms to take
	// effect, and the report covers half a second.
	paceEvery = 700 * time.Millisecond
)

// paceFillers slows the filling tasks of a worker while a serving task there
// comes near its tail target, and lets them go faster while none does.
func (c *Cell) paceFillers(w *worker, now time.Time) {
	worst := 0.0
	for a := range w.attempts {
		if target := a.task.stage.step.TailLatencyTarget; target > 0 && a.phase == running {
			worst = max(worst, a.gauge/float64(target.Milliseconds()))
		}
	}
	for a := range w.attempts {
		if !a.task.stage.step.BestEffort || a.phase != running || now.Sub(a.pacedAt) < paceEvery {
			continue
		}
		next := nextPace(a.pace, worst)
		if next != a.pace {
			c.sendPace(a, next, worst, now)
		}
	}
}

// nextPace is the feedback rule: above the target all filling stops, near it it
// halves, and well below it it grows.
func nextPace(pace int, worst float64) int {
	switch {
	case pace < 0:
		return 0
	case worst >= 1:
		return 0
	case worst >= tailSafe:
		return int(float64(pace) * paceDown)
	case worst < tailSafe*0.75:
		return min(100, pace+paceUp)
	}
	return pace
}

// restorePace lets fillers go on at full speed where no serving task is left.
func (c *Cell) restorePace(w *worker, now time.Time) {
	for a := range w.attempts {
		if a.task.stage.step.BestEffort && a.phase == running && a.pace != 100 && now.Sub(a.pacedAt) >= paceEvery {
			c.sendPace(a, 100, 0, now)
		}
	}
}

func (c *Cell) sendPace(a *attempt, percent int, worst float64, now time.Time) {
	c.log.WithFields(attemptFields(a)).WithFields(logrus.Fields{"pace": percent, "tail_share": worst}).Debug("run_paced")
	a.pace = percent
	a.pacedAt = now
	c.orders = append(c.orders, PaceOrder{Worker: a.worker.target, Task: a.task.id(),
		Pace: runner.Throttle{Task: a.task.id().String(), Run: a.run, Token: c.settings.Term, Percent: percent}})
}
