package cellowner

import (
	"context"
	"time"

	"gentianstand/internal/cell"
)

const (
	// planPeriod is how often the cell is planned when nothing happens, for what
	// depends on time alone: leases, stalls, pacing.
	planPeriod = 100 * time.Millisecond
	// planGap is the least time between two passes, so that news of one moment is
	// decided on together. At 300 news a second a pass takes in about one.
	planGap = 3 * time.Millisecond
)

// planLoop plans after news, and carries out the orders.
func (o *Owner) planLoop(ctx context.Context) {
	ticker := time.NewTicker(planPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.kick:
		case <-ticker.C:
		}
		if o.deps.Leadership.Confirmed() {
			began := time.Now()
			orders := o.cell.Plan(began, o.deps.Advisers.Slots())
			o.deps.Metrics.PlanSeconds.UpdateDuration(began)
			for _, order := range orders {
				o.carryOut(ctx, order)
			}
		}
		if !wait(ctx, planGap) {
			return
		}
	}
}

// carryOut sends an order without waiting for its answer.
func (o *Owner) carryOut(ctx context.Context, order cell.Order) {
	switch order := order.(type) {
	case cell.StartOrder:
		go o.start(ctx, order)
	case cell.StopOrder:
		go o.stop(ctx, order)
	case cell.PaceOrder:
		go o.pace(ctx, order)
	case cell.AdviceOrder:
		o.deps.Advisers.Reserve(order)
		go o.ask(ctx, order)
	}
}
