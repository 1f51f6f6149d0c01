package cellowner

import (
	"context"
	"errors"
	"time"

	"gentianstand/internal/cell"
	"gentianstand/internal/runner"
)

// adviceSlack is added to the duration of the adviser itself. It covers network latency and one
// call that the same instance may have to finish first.
const adviceSlack = time.Second

// start sends a start order, and repeats it once if it is not answered. A worker that already has
// the run answers the repeat like the first order, so the repeat confirms the run or begins it. A
// stop would lose the work done so far. If the first order arrives late, the worker finds the
// same run, or one that has ended, and declines the order.
func (o *Owner) start(ctx context.Context, order cell.StartOrder) {
	answer, err := o.startOnce(ctx, order, o.orderTimeout.LimitWith(resendFactor, minResendTimeout))
	if errors.Is(err, runner.ErrNoAnswer) && o.deps.Leadership.Confirmed() {
		o.deps.Metrics.StartRepeats.Inc()
		answer, err = o.startOnce(ctx, order, o.orderTimeout.Limit())
		var refusal *runner.Refusal
		if errors.As(err, &refusal) {
			err = &runner.Refusal{Reason: refusal.Reason, Repeated: true}
		}
	}
	o.checkFence(err)
	o.cell.StartAnswered(order, answer, err, time.Now())
	if err != nil {
		o.wakePlanner()
	}
}

// startOnce sends a start order and records the duration of the answer.
func (o *Owner) startOnce(ctx context.Context, order cell.StartOrder, limit time.Duration) (runner.Answer, error) {
	began := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer, err := o.deps.Runner.Start(callCtx, order.Worker, order.Start)
	o.deps.Metrics.Starts.Inc()
	o.deps.Metrics.StartSeconds.UpdateDuration(began)
	switch {
	case err == nil:
		o.orderTimeout.ObserveAnswer(time.Since(began))
	case errors.Is(err, runner.ErrNoAnswer):
		o.orderTimeout.ObserveTimeout(time.Since(began))
	}
	if err != nil {
		o.deps.Metrics.StartErrors.Inc()
	}
	return answer, err
}

func (o *Owner) stop(ctx context.Context, order cell.StopOrder) {
	callCtx, cancel := context.WithTimeout(ctx, o.orderTimeout.Limit())
	defer cancel()
	answer, err := o.deps.Runner.Stop(callCtx, order.Worker, order.Stop)
	o.checkFence(err)
	o.cell.StopAnswered(order, answer, err, time.Now())
	if err != nil {
		o.wakePlanner()
	}
}

func (o *Owner) throttle(ctx context.Context, order cell.ThrottleOrder) {
	callCtx, cancel := context.WithTimeout(ctx, o.orderTimeout.Limit())
	defer cancel()
	_, err := o.deps.Runner.Throttle(callCtx, order.Worker, order.Throttle)
	o.checkFence(err)
	o.cell.ThrottleAnswered(order, err, time.Now())
}

func (o *Owner) askAdviser(ctx context.Context, order cell.AdviceOrder) {
	began := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, order.Cost.Duration(len(order.Workers))+adviceSlack)
	defer cancel()
	tickets, err := o.deps.Advisers.Ask(callCtx, order)
	o.deps.Metrics.AdviceSeconds.UpdateDuration(began)
	if err != nil {
		o.deps.Metrics.AdviceErrors.Inc()
	}
	o.cell.AdviceAnswered(order.Stage, order.Workers, tickets, err, time.Now())
	o.wakePlanner()
}

// checkFence ends the ownership if a worker has seen a higher fencing token.
func (o *Owner) checkFence(err error) {
	var refusal *runner.Refusal
	if errors.As(err, &refusal) && refusal.Reason == runner.Fenced {
		o.deps.Leadership.Superseded("a worker has seen a higher fencing token")
	}
}
