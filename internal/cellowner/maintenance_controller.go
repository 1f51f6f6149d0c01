package cellowner

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/upkeep"
)

// maintenanceController is the state of maintenanceLoop.
type maintenanceController struct {
	MaintenanceDeps
	owner     *Owner
	startedAt time.Time
	trackers  map[uint64]*upkeep.Tracker
	// recorded holds the machines that the store lists as ordered, by wave, and versions the versions
	// of these rows.
	recorded map[uint64][]string
	versions map[uint64]uint64
}

// maintenanceResult is the outcome of an order to the fleet.
type maintenanceResult struct {
	order upkeep.Order
	err   error
}

// readWaves starts to track new waves and drops those that were withdrawn.
func (c *maintenanceController) readWaves(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	waves, err := c.Source.Unfinished(callCtx)
	if err != nil {
		c.owner.deps.Log.WithError(err).Debug("waves_not_read")
		return
	}
	open := map[uint64]bool{}
	for _, w := range waves {
		open[w.Number] = true
		if c.trackers[w.Number] == nil {
			c.track(callCtx, w)
		}
	}
	for number := range c.trackers {
		if !open[number] {
			c.drop(number)
		}
	}
	if len(c.trackers) == 0 {
		c.owner.cell.SetEvacuating(nil)
	}
}

// track starts to track a wave.
func (c *maintenanceController) track(ctx context.Context, w upkeep.Wave) {
	stored, err := c.owner.readWave(ctx, w.Number)
	if err != nil {
		c.owner.deps.Log.WithField("wave", w.Number).WithError(err).Info("wave_not_followed")
		return
	}
	c.owner.deps.Log.WithFields(logrus.Fields{"wave": w.Number, "machines": len(w.Machines), "at_once": w.MaxConcurrent,
		"within_ms": w.TargetDuration.Milliseconds(), "begun": len(stored.begun), "ordered": len(stored.ordered)}).Info("wave_followed")
	t := upkeep.NewTracker(w, c.Duration, stored.begun, time.Now())
	t.Inherit(stored.ordered)
	c.trackers[w.Number], c.recorded[w.Number], c.versions[w.Number] = t, stored.ordered, stored.version
	c.report(ctx, w.Number, false)
}

// report sends the state of a wave to its source and reports whether that succeeded.
func (c *maintenanceController) report(ctx context.Context, wave uint64, completed bool) bool {
	if err := c.Source.Report(ctx, wave, completed); err != nil {
		c.owner.deps.Log.WithFields(logrus.Fields{"wave": wave, "completed": completed}).WithError(err).Info("wave_not_reported")
		return false
	}
	return true
}

// reconcile plans all tracked waves: it evacuates workers, sends orders to the fleet and
// completes waves.
func (c *maintenanceController) reconcile(ctx context.Context) {
	if !c.owner.deps.Leadership.Confirmed() {
		return
	}
	listed, ok := c.listMachines(ctx)
	if !ok || !c.owner.deps.Leadership.Confirmed() {
		// A slow listing can outlast the ownership, and the next owner relies on no orders being sent.
		return
	}
	var empty []string
	var orders []upkeep.Order
	var completed []*upkeep.Tracker
	for number, t := range c.trackers {
		plan := t.Plan(time.Now(), listed, c.owner.cell.WorkerLoad)
		empty = append(empty, plan.Evacuate...)
		for _, w := range plan.Terminated {
			c.owner.cell.WorkerTerminated(w.Worker, w.OrderedAt, time.Now())
		}
		if plan.Completed {
			completed = append(completed, t)
		}
		if time.Since(c.startedAt) < c.HolderLease {
			// Another holder may have sent orders for these machines shortly before.
			continue
		}
		for _, machine := range plan.Begin {
			t.MarkOrdered(machine, time.Now())
			orders = append(orders, upkeep.Order{Machine: machine, Wave: number, Holder: c.Holder, Token: c.owner.term})
		}
	}
	c.owner.cell.SetEvacuating(empty)
	c.sendOrders(ctx, c.recordOrders(ctx, orders))
	for _, t := range completed {
		c.complete(ctx, t)
	}
}

// listMachines returns the machines of the fleet by name.
func (c *maintenanceController) listMachines(ctx context.Context) (map[string]upkeep.Machine, bool) {
	callCtx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	machines, err := c.Fleet.Machines(callCtx)
	if err != nil {
		c.owner.deps.Log.WithError(err).Info("machines_not_listed")
		return nil, false
	}
	listed := make(map[string]upkeep.Machine, len(machines))
	for _, m := range machines {
		listed[m.Name] = m
	}
	return listed, true
}

// complete reports a wave as completed and stops tracking it.
func (c *maintenanceController) complete(ctx context.Context, t *upkeep.Tracker) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if !c.report(callCtx, t.Wave().Number, true) {
		return
	}
	c.owner.deps.Log.WithField("wave", t.Wave().Number).Info("wave_completed")
	c.drop(t.Wave().Number)
}

// drop stops tracking a wave.
func (c *maintenanceController) drop(wave uint64) {
	delete(c.trackers, wave)
	delete(c.recorded, wave)
	delete(c.versions, wave)
}

// sendOrders sends orders, which must be recorded, at the same time and handles their results.
func (c *maintenanceController) sendOrders(ctx context.Context, orders []upkeep.Order) {
	if len(orders) == 0 {
		return
	}
	answers := make(chan maintenanceResult, len(orders))
	for _, order := range orders {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, fleetTimeout)
			defer cancel()
			answers <- maintenanceResult{order, c.Fleet.Begin(callCtx, order)}
		}()
	}
	changed := map[uint64]bool{}
	for range orders {
		answer := <-answers
		changed[answer.order.Wave] = c.handleResult(answer) || changed[answer.order.Wave]
	}
	for number, stored := range changed {
		if stored {
			c.record(ctx, number)
		}
	}
}

// handleResult records the outcome of an order and reports whether the maintenance has begun.
func (c *maintenanceController) handleResult(a maintenanceResult) bool {
	t := c.trackers[a.order.Wave]
	log := c.owner.deps.Log.WithFields(logrus.Fields{"wave": a.order.Wave, "machine": a.order.Machine})
	switch {
	case a.err == nil:
		log.WithField("worker", t.MarkBegun(a.order.Machine, time.Now())).Info("upkeep_begun")
		return true
	case errors.Is(a.err, upkeep.ErrNotInWave):
		t.MarkNotInWave(a.order.Machine)
	case errors.Is(a.err, upkeep.ErrFenced):
		c.owner.deps.Leadership.Superseded("the fleet has seen a higher fencing token")
	default:
		t.MarkUnanswered(a.order.Machine, time.Now())
	}
	log.WithError(a.err).Info("upkeep_not_begun")
	return false
}
