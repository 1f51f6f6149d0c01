package cellowner

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/cell"
	"gentianstand/internal/runner"
)

const (
	// planInterval is how often the cell is planned without any update, for decisions that depend
	// on time alone: leases, stalls, throttling.
	planInterval = 100 * time.Millisecond
	// minPlanInterval is the least time between two passes, so that updates that arrive together
	// are planned together.
	minPlanInterval = 3 * time.Millisecond
	// maxPlanShare bounds the share of time spent on planning. A pass over hundreds of waiting
	// stages takes milliseconds, and orders and reports need CPU, too.
	maxPlanShare = 0.25
	// summaryInterval is how often the state of the cell is logged.
	summaryInterval = 2 * time.Second
)

// planLoop plans after updates and sends the resulting orders.
func (o *Owner) planLoop(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.planSignal:
		case <-ticker.C:
		case <-summary.C:
			o.logSummary(time.Now())
		}
		gap := minPlanInterval
		if o.deps.Leadership.Confirmed() {
			began := time.Now()
			o.cell.Configure(o.deps.Catalog())
			orders := o.cell.Plan(began, o.deps.Advisers.Slots())
			o.deps.Metrics.PlanSeconds.UpdateDuration(began)
			o.planStats.record(time.Since(began))
			gap = max(gap, time.Duration(float64(time.Since(began))*(1/maxPlanShare-1)))
			if ctx.Err() != nil {
				// The successor may have been told that this owner has stopped.
				return
			}
			o.dispatchAll(ctx, orders)
			if slices.ContainsFunc(orders, isPoll) {
				o.startPolling(ctx)
				o.wakeCommitter()
			}
		}
		if !sleep(ctx, gap) {
			return
		}
	}
}

func isPoll(order cell.Order) bool {
	_, ok := order.(cell.PollOrder)
	return ok
}

// logSummary logs the state of the cell, so that an operator can see why tasks wait.
func (o *Owner) logSummary(now time.Time) {
	s := o.cell.Stats(now)
	jobsAge, workersAge := o.jobsAge.age(now), o.workersAge.age(now)
	o.deps.Log.WithFields(logrus.Fields{"jobs": s.ActiveJobs, "job_bytes": s.JobBytes, "waiting_tasks": s.WaitingTasks, "workers": s.Workers,
		"usable": s.Usable, "parked": s.Parked, "free_share": strconv.FormatFloat(s.FreeShare, 'f', 3, 64), "free_memory_share": strconv.FormatFloat(s.FreeMemoryShare, 'f', 3, 64), "starts": s.Starts, "done": s.Done,
		"failed": s.Failed, "lost": s.Lost, "given_up": s.PoisonJobs, "stops": s.Stops, "preemptions": s.Preemptions, "preemption_lost_core_s": int64(s.PreemptionLost), "preemptions_refused": s.PreemptionsRefused, "reservations": s.Reservations, "moves": s.Moves, "copies": s.SpeculativeRuns,
		"slack_starts": s.SlackStarts, "little_slack_starts": s.LittleSlackStarts, "faster_waits": s.FasterWaits,
		"advice_calls": s.AdviceCalls, "slow_workers": s.SlowWorkers, "fast_workers": s.FastWorkers, "jobs_news_ms": jobsAge.Milliseconds(), "workers_news_ms": workersAge.Milliseconds()}).WithFields(adviceFields(&s, &o.lastStats)).WithFields(o.planStats.takeFields()).WithFields(o.waitStats.takeFields()).Info("cell_state")
	o.deps.Metrics.addAdvice(&s, &o.lastStats)
	o.lastStats = s
	o.logLongWaits(now)
	o.logDownTasks(now)
	o.logQuotaWaits(now)
	o.deps.Metrics.FreeShare.Set(s.FreeShare)
	o.deps.Metrics.JobBytes.Set(float64(s.JobBytes))
	o.deps.Metrics.SlackStarts.Set(s.SlackStarts)
	o.deps.Metrics.LittleSlackStarts.Set(s.LittleSlackStarts)
	o.deps.Metrics.FasterWaits.Set(s.FasterWaits)
	o.deps.Metrics.setPreemptions(s)
	o.deps.Metrics.RejectedRows.Set(float64(s.RejectedRows))
	o.deps.Metrics.WaitingTasks.Set(float64(s.WaitingTasks))
	o.deps.Metrics.SlowWorkers.Set(float64(s.SlowWorkers))
	o.deps.Metrics.FastWorkers.Set(float64(s.FastWorkers))
	o.deps.Metrics.JobsUpdateAge.Set(jobsAge.Seconds())
	o.deps.Metrics.WorkersUpdateAge.Set(workersAge.Seconds())
}

// dispatchAll sends the orders of a planning pass. If the ownership is not confirmed any more, the pass
// may have been decided when a successor already counted this owner as stopped: its starts are treated
// as unanswered, so that they are revoked later, and stops are repeated by the cell.
func (o *Owner) dispatchAll(ctx context.Context, orders []cell.Order) {
	confirmed := o.deps.Leadership.Confirmed()
	for _, order := range orders {
		if confirmed {
			o.dispatch(ctx, order)
			continue
		}
		o.discard(order)
	}
}

// discard handles an order that is not sent.
func (o *Owner) discard(order cell.Order) {
	now := time.Now()
	switch order := order.(type) {
	case cell.StartOrder:
		o.cell.StartAnswered(order, runner.Answer{}, runner.ErrNoAnswer, now)
	case cell.ThrottleOrder:
		o.cell.ThrottleAnswered(order, runner.ErrNoAnswer, now)
	case cell.AdviceOrder:
		o.cell.AdviceAnswered(order.Stage, order.Workers, nil, runner.ErrNoAnswer, now)
	}
}

// dispatch sends an order without waiting for its answer.
func (o *Owner) dispatch(ctx context.Context, order cell.Order) {
	switch order := order.(type) {
	case cell.StartOrder:
		go o.start(ctx, order)
	case cell.StopOrder:
		go o.stop(ctx, order)
	case cell.ThrottleOrder:
		go o.throttle(ctx, order)
	case cell.AdviceOrder:
		o.deps.Advisers.Reserve(order)
		go o.askAdviser(ctx, order)
	}
}
