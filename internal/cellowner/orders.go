package cellowner

import (
	"context"
	"errors"
	"time"

	"gentianstand/internal/cell"
	"gentianstand/internal/runner"
)

// adviceSlack is added to the adviser's own duration, for the way and for one
// call of the same instance that may be before this one.
const adviceSlack = time.Second

func (o *Owner) start(ctx context.Context, order cell.StartOrder) {
	began := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, o.patience.limit())
	defer cancel()
	answer, err := o.deps.Runner.Start(callCtx, order.Worker, order.Start)
	o.deps.Metrics.Starts.Inc()
	o.deps.Metrics.StartSeconds.UpdateDuration(began)
	if err != nil {
		o.deps.Metrics.StartErrors.Inc()
	} else {
		o.patience.answered(time.Since(began))
	}
	o.checkFence(err)
	o.cell.StartAnswered(order, answer, err, time.Now())
	if err != nil {
		o.wake()
	}
}

func (o *Owner) stop(ctx context.Context, order cell.StopOrder) {
	callCtx, cancel := context.WithTimeout(ctx, o.patience.limit())
	defer cancel()
	answer, err := o.deps.Runner.Stop(callCtx, order.Worker, order.Stop)
	o.checkFence(err)
	o.cell.StopAnswered(order, answer, err, time.Now())
	if err != nil {
		o.wake()
	}
}

func (o *Owner) pace(ctx context.Context, order cell.PaceOrder) {
	_, err := o.deps.Runner.Pace(ctx, order.Worker, order.Pace)
	o.checkFence(err)
	o.cell.PaceAnswered(order, err, time.Now())
}

func (o *Owner) ask(ctx context.Context, order cell.AdviceOrder) {
	began := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, order.Cost.Duration(len(order.Workers))+adviceSlack)
	defer cancel()
	tickets, err := o.deps.Advisers.Ask(callCtx, order)
	o.deps.Metrics.AdviceSeconds.UpdateDuration(began)
	if err != nil {
		o.deps.Metrics.AdviceErrors.Inc()
	}
	o.cell.Advised(order.Stage, order.Workers, tickets, err, time.Now())
	o.wake()
}

// checkFence gives the ownership up when a worker has seen a higher token.
func (o *Owner) checkFence(err error) {
	var refusal *runner.Refusal
	if errors.As(err, &refusal) && refusal.Reason == runner.Fenced {
		o.deps.Leadership.Overtaken("a worker has seen a higher fencing token")
	}
}
