package cell

import "time"

const (
	// elsewherePeriod is how often it is checked for one run which worker another run would get. The
	// check considers all workers.
	elsewherePeriod = time.Second
	// noCapacityFactor is the assumed speed factor of the worker of another run while no worker has free
	// capacity for it: the run would have to wait.
	noCapacityFactor = 2
)

// slowerThan reports whether a run needs longer than limit says for the duration of a fresh run
// elsewhere. The duration is never below the estimate, which rules out most runs without a look at their
// siblings; then a typical worker is assumed, and only then all workers are considered.
func (c *Cell) slowerThan(a *attempt, limit func(fresh time.Duration) time.Duration, now time.Time) bool {
	remaining := a.projectedRemaining()
	if remaining <= limit(a.leftOf(a.task.stage.step.Estimate)) {
		return false
	}
	fresh := c.freshDuration(a)
	if remaining <= limit(fresh) {
		return false
	}
	if !c.enabled(WorkerSpeed) || c.speeds.Uniform() {
		return true
	}
	if now.Sub(a.elsewhereAt) < elsewherePeriod {
		return false
	}
	a.elsewhereAt = now
	return remaining > limit(time.Duration(float64(fresh)*c.factorElsewhere(a, now)))
}

// factorElsewhere returns the speed factor of the worker that another run of the attempt's task would get
// now.
func (c *Cell) factorElsewhere(a *attempt, now time.Time) float64 {
	s := a.task.stage
	need := s.step.Occupied()
	var best *worker
	for _, w := range c.workers {
		if w == a.worker || !need.Fits(w.free()) || !w.usable(now) || !c.mayReserveOn(s, w) {
			continue
		}
		if best == nil || c.score(s, w) < c.score(s, best) {
			best = w
		}
	}
	if best == nil {
		return noCapacityFactor
	}
	return c.speedFactor(best)
}

// leftOf returns how much of the duration of a fresh run another run of the attempt's task would need.
func (a *attempt) leftOf(fresh time.Duration) time.Duration {
	if a.task.stage.step.Checkpoint && a.task.checkpoint != "" {
		return fresh * time.Duration(100-a.percent) / 100
	}
	return fresh
}

// projectedTotal returns how long a run with some progress takes at its speed so far.
func (a *attempt) projectedTotal() time.Duration {
	return a.progressedAt.Sub(a.confirmedAt) + a.projectedRemaining()
}

// excusedDuration returns how long a run of the attempt's task may usually take on its worker, as far as
// the lengths of tasks and the known speed of the worker explain it.
func (c *Cell) excusedDuration(a *attempt, projected time.Duration) time.Duration {
	usual := c.usualDuration(a)
	if !c.enabled(WorkerSpeed) {
		return usual
	}
	usual = c.speeds.Elsewhere(speedTask(a), projected, usual)
	return c.speeds.Excused(a.worker.ID, a.worker.kind(), usual)
}
