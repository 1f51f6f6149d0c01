package cellowner

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/upkeep"
)

// upkeeper is the state of upkeepLoop.
type upkeeper struct {
	MaintenanceDeps
	owner    *Owner
	beganAt  time.Time
	trackers map[uint64]*upkeep.Tracker
}

// upkeepAnswer is how an order ended.
type upkeepAnswer struct {
	order upkeep.Order
	err   error
}

// readWaves begins trackers of new waves, and drops those of waves that were taken back.
func (u *upkeeper) readWaves(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	waves, err := u.Source.Unfinished(callCtx)
	if err != nil {
		u.owner.deps.Log.WithError(err).Debug("waves_not_read")
		return
	}
	open := map[uint64]bool{}
	for _, w := range waves {
		open[w.Number] = true
		if u.trackers[w.Number] == nil {
			u.follow(callCtx, w)
		}
	}
	for number := range u.trackers {
		if !open[number] {
			delete(u.trackers, number)
		}
	}
	if len(u.trackers) == 0 {
		u.owner.cell.SetEvacuating(nil)
	}
}

// follow begins to track a wave.
func (u *upkeeper) follow(ctx context.Context, w upkeep.Wave) {
	had, err := u.owner.readUpkeep(ctx, w.Number)
	if err != nil {
		u.owner.deps.Log.WithField("wave", w.Number).WithError(err).Info("wave_not_followed")
		return
	}
	u.owner.deps.Log.WithFields(logrus.Fields{"wave": w.Number, "machines": len(w.Machines), "at_once": w.MaxConcurrent,
		"within_ms": w.TargetDuration.Milliseconds(), "begun": len(had)}).Info("wave_followed")
	u.trackers[w.Number] = upkeep.NewTracker(w, u.Duration, had, time.Now())
	u.report(ctx, w.Number, false)
}

func (u *upkeeper) report(ctx context.Context, wave uint64, completed bool) bool {
	if err := u.Source.Report(ctx, wave, completed); err != nil {
		u.owner.deps.Log.WithFields(logrus.Fields{"wave": wave, "completed": completed}).WithError(err).Info("wave_not_reported")
		return false
	}
	return true
}

// tend does what the waves need now.
func (u *upkeeper) tend(ctx context.Context) {
	if !u.owner.deps.Leadership.Confirmed() {
		return
	}
	listed, ok := u.list(ctx)
	if !ok {
		return
	}
	var empty []string
	var orders []upkeep.Order
	for number, t := range u.trackers {
		plan := t.Plan(time.Now(), listed, u.owner.cell.WorkerLoad)
		empty = append(empty, plan.Evacuate...)
		if plan.Completed {
			u.complete(ctx, t)
		}
		if time.Since(u.beganAt) < u.HolderLease {
			// Another holder may have ordered about these machines just before.
			continue
		}
		for _, machine := range plan.Begin {
			t.MarkOrdered(machine, time.Now())
			orders = append(orders, upkeep.Order{Machine: machine, Wave: number, Holder: u.Holder, Token: u.owner.term})
		}
	}
	u.owner.cell.SetEvacuating(empty)
	u.begin(ctx, orders)
}

// list returns the fleet's machines by name.
func (u *upkeeper) list(ctx context.Context) (map[string]upkeep.Machine, bool) {
	callCtx, cancel := context.WithTimeout(ctx, upkeepTimeout)
	defer cancel()
	machines, err := u.Fleet.Machines(callCtx)
	if err != nil {
		u.owner.deps.Log.WithError(err).Info("machines_not_listed")
		return nil, false
	}
	listed := make(map[string]upkeep.Machine, len(machines))
	for _, m := range machines {
		listed[m.Name] = m
	}
	return listed, true
}

// complete reports a wave as completed and forgets it.
func (u *upkeeper) complete(ctx context.Context, t *upkeep.Tracker) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if !u.report(callCtx, t.Wave().Number, true) {
		return
	}
	u.owner.deps.Log.WithField("wave", t.Wave().Number).Info("wave_completed")
	delete(u.trackers, t.Wave().Number)
}

// begin sends orders at the same time and takes their answers in.
func (u *upkeeper) begin(ctx context.Context, orders []upkeep.Order) {
	if len(orders) == 0 {
		return
	}
	answers := make(chan upkeepAnswer, len(orders))
	for _, order := range orders {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, upkeepTimeout)
			defer cancel()
			answers <- upkeepAnswer{order, u.Fleet.Begin(callCtx, order)}
		}()
	}
	changed := map[uint64]bool{}
	for range orders {
		answer := <-answers
		changed[answer.order.Wave] = u.answered(answer) || changed[answer.order.Wave]
	}
	for number, stored := range changed {
		if stored {
			u.owner.storeUpkeep(ctx, number, u.trackers[number].BegunMachines())
		}
	}
}

// answered takes in how an order ended, and reports whether the upkeep has begun.
func (u *upkeeper) answered(a upkeepAnswer) bool {
	t := u.trackers[a.order.Wave]
	log := u.owner.deps.Log.WithFields(logrus.Fields{"wave": a.order.Wave, "machine": a.order.Machine})
	switch {
	case a.err == nil:
		now := time.Now()
		worker, orderedAt := t.MarkBegun(a.order.Machine, now)
		u.owner.cell.WorkerTerminated(worker, orderedAt, now)
		log.WithField("worker", worker).Info("upkeep_begun")
		return true
	case errors.Is(a.err, upkeep.ErrNotInWave):
		t.MarkNotInWave(a.order.Machine)
	case errors.Is(a.err, upkeep.ErrFenced):
		u.owner.deps.Leadership.Superseded("the fleet has seen a higher fencing token")
	default:
		t.MarkUnanswered(a.order.Machine, time.Now())
	}
	log.WithError(a.err).Info("upkeep_not_begun")
	return false
}
