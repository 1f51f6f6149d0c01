package cellowner

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/cell"
)

const (
	// planPeriod is how often the cell is planned when nothing happens, for what
	// depends on time alone: leases, stalls, pacing.
	planPeriod = 100 * time.Millisecond
	// planGap is the least time between two passes, so that news of one moment is
	// decided on together.
	planGap = 3 * time.Millisecond
	// planShare bounds the share of the time that is spent planning: a pass over
	// hundreds of waiting stages takes milliseconds, and orders and reports need
	// the processor, too.
	planShare = 0.25
	// summaryPeriod is how often the state of the cell is logged.
	summaryPeriod = 2 * time.Second
)

// planLoop plans after news, and carries out the orders.
func (o *Owner) planLoop(ctx context.Context) {
	ticker := time.NewTicker(planPeriod)
	defer ticker.Stop()
	summary := time.NewTicker(summaryPeriod)
	defer summary.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.kick:
		case <-ticker.C:
		case <-summary.C:
			o.summarize(time.Now())
		}
		gap := planGap
		if o.deps.Leadership.Confirmed() {
			began := time.Now()
			o.cell.Configure(o.deps.Catalog())
			orders := o.cell.Plan(began, o.deps.Advisers.Slots())
			o.deps.Metrics.PlanSeconds.UpdateDuration(began)
			o.planned.note(time.Since(began))
			gap = max(gap, time.Duration(float64(time.Since(began))*(1/planShare-1)))
			for _, order := range orders {
				o.carryOut(ctx, order)
			}
			if slices.ContainsFunc(orders, isLook) {
				o.startLooking(ctx)
				o.wakeCommit()
			}
		}
		if !wait(ctx, gap) {
			return
		}
	}
}

func isLook(order cell.Order) bool {
	_, ok := order.(cell.PollOrder)
	return ok
}

// summarize logs the state of the cell, so that an operator sees why work waits.
func (o *Owner) summarize(now time.Time) {
	s := o.cell.Stats(now)
	jobsNews, workersNews := o.jobsNews.of(now), o.workersNews.of(now)
	o.deps.Log.WithFields(logrus.Fields{"jobs": s.ActiveJobs, "waiting_tasks": s.WaitingTasks, "workers": s.Workers,
		"usable": s.Usable, "parked": s.Parked, "free_share": strconv.FormatFloat(s.FreeShare, 'f', 3, 64), "free_memory_share": strconv.FormatFloat(s.FreeMemoryShare, 'f', 3, 64), "starts": s.Starts, "done": s.Done,
		"failed": s.Failed, "lost": s.Lost, "given_up": s.PoisonJobs, "stops": s.Stops, "preemptions": s.Preemptions, "reservations": s.Reservations, "moves": s.Moves, "copies": s.SpeculativeRuns,
		"advice_calls": s.AdviceCalls, "jobs_news_ms": jobsNews.Milliseconds(), "workers_news_ms": workersNews.Milliseconds()}).WithFields(o.planned.take()).WithFields(o.waits.take()).Info("cell_state")
	o.tellLongWaits(now)
	o.tellAways(now)
	o.tellQuotaWaits(now)
	o.deps.Metrics.FreeShare.Set(s.FreeShare)
	o.deps.Metrics.WaitingTasks.Set(float64(s.WaitingTasks))
	o.deps.Metrics.JobsUpdateAge.Set(jobsNews.Seconds())
	o.deps.Metrics.WorkersUpdateAge.Set(workersNews.Seconds())
}

// carryOut sends an order without waiting for its answer.
func (o *Owner) carryOut(ctx context.Context, order cell.Order) {
	switch order := order.(type) {
	case cell.StartOrder:
		go o.start(ctx, order)
	case cell.StopOrder:
		go o.stop(ctx, order)
	case cell.ThrottleOrder:
		go o.pace(ctx, order)
	case cell.AdviceOrder:
		o.deps.Advisers.Reserve(order)
		go o.ask(ctx, order)
	}
}
