package cellowner

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/store"
	"gentianstand/internal/upkeep"
)

const (
	// wavesPeriod is how often the waves are read: a wave takes some ten seconds at
	// least.
	wavesPeriod = time.Second
	// upkeepPeriod is how often a wave that goes on is planned, and the fleet's list
	// is read for it; the fleet serves some dozens of readings a second.
	upkeepPeriod = 300 * time.Millisecond
	// upkeepTimeout bounds a call to the fleet. A slow one takes some hundred
	// milliseconds.
	upkeepTimeout = time.Second
)

// upkeepLoop sees to the waves of upkeep until ctx ends.
func (o *Owner) upkeepLoop(ctx context.Context) {
	if o.deps.Upkeep.Source == nil {
		return
	}
	u := &upkeeper{owner: o, UpkeepDeps: o.deps.Upkeep, beganAt: time.Now(), trackers: map[uint64]*upkeep.Tracker{}}
	for {
		u.readWaves(ctx)
		next := time.Now().Add(wavesPeriod)
		for len(u.trackers) > 0 && time.Now().Before(next) {
			u.tend(ctx)
			if !wait(ctx, upkeepPeriod) {
				return
			}
		}
		if !wait(ctx, time.Until(next)) {
			return
		}
	}
}

// upkeeper is the state of upkeepLoop.
type upkeeper struct {
	UpkeepDeps
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
	waves, err := u.Source.Open(callCtx)
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
		u.owner.cell.Evacuate(nil)
	}
}

// follow begins to track a wave.
func (u *upkeeper) follow(ctx context.Context, w upkeep.Wave) {
	had, err := u.owner.readUpkeep(ctx, w.Number)
	if err != nil {
		u.owner.deps.Log.WithField("wave", w.Number).WithError(err).Info("wave_not_followed")
		return
	}
	u.owner.deps.Log.WithFields(logrus.Fields{"wave": w.Number, "machines": len(w.Machines), "at_once": w.AtOnce,
		"within_ms": w.Within.Milliseconds(), "begun": len(had)}).Info("wave_followed")
	u.trackers[w.Number] = upkeep.NewTracker(w, u.Lasts, had, time.Now())
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
		empty = append(empty, plan.Empty...)
		if plan.Completed {
			u.complete(ctx, t)
		}
		if time.Since(u.beganAt) < u.HolderLease {
			// Another holder may have ordered about these machines just before.
			continue
		}
		for _, machine := range plan.Begin {
			t.Sending(machine)
			orders = append(orders, upkeep.Order{Machine: machine, Wave: number, Holder: u.Holder, Token: u.owner.term})
		}
	}
	u.owner.cell.Evacuate(empty)
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
			u.owner.storeUpkeep(ctx, number, u.trackers[number].Had())
		}
	}
}

// answered takes in how an order ended, and reports whether the upkeep has begun.
func (u *upkeeper) answered(a upkeepAnswer) bool {
	t := u.trackers[a.order.Wave]
	log := u.owner.deps.Log.WithFields(logrus.Fields{"wave": a.order.Wave, "machine": a.order.Machine})
	switch {
	case a.err == nil:
		worker := t.Begun(a.order.Machine)
		u.owner.cell.Ended(worker, time.Now())
		log.WithField("worker", worker).Info("upkeep_begun")
		return true
	case errors.Is(a.err, upkeep.ErrNotConcerned):
		t.Unneeded(a.order.Machine)
	case errors.Is(a.err, upkeep.ErrFenced):
		u.owner.deps.Leadership.Overtaken("the fleet has seen a higher fencing token")
	default:
		t.Unanswered(a.order.Machine, time.Now())
	}
	log.WithError(a.err).Info("upkeep_not_begun")
	return false
}

// readUpkeep returns the machines of a wave that an earlier owner knew to have begun.
func (o *Owner) readUpkeep(ctx context.Context, wave uint64) ([]string, error) {
	row, err := o.deps.Store.Get(ctx, upkeep.Table, o.deps.Jobs.ProgressPartition(), upkeep.Key(wave))
	if err != nil || row.Version == 0 {
		return nil, err
	}
	return upkeep.DecodeHad(row.Value)
}

// storeUpkeep keeps the machines of a wave that have begun. If that fails, the next
// owner empties them again and is told that they have had their upkeep.
func (o *Owner) storeUpkeep(ctx context.Context, wave uint64, had []string) {
	value, err := upkeep.EncodeHad(had)
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		_, err = o.deps.Store.Commit(callCtx, store.Tx{Partition: o.deps.Jobs.ProgressPartition(), Checks: []store.Check{o.claim},
			Puts: []store.Put{{Table: upkeep.Table, Key: upkeep.Key(wave), Value: value}}})
	}
	if err != nil {
		o.deps.Log.WithField("wave", wave).WithError(err).Info("upkeep_not_stored")
	}
}
