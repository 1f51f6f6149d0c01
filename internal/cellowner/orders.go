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

// start sends a start, and once more if it is not answered. A start of a run that is there
// is answered like the first one, so the repeat confirms the run or begins it, where a
// stop would cost the work done so far. A late effect of the first one meets the same run,
// or one that has ended, and the worker declines it.
func (o *Owner) start(ctx context.Context, order cell.StartOrder) {
	answer, err := o.startOnce(ctx, order, o.patience.Within(briefFactor, briefLeast))
	if errors.Is(err, runner.ErrNoAnswer) && o.deps.Leadership.Confirmed() {
		o.deps.Metrics.StartRepeats.Inc()
		answer, err = o.startOnce(ctx, order, o.patience.Limit())
		var refusal *runner.Refusal
		if errors.As(err, &refusal) {
			err = &runner.Refusal{Reason: refusal.Reason, Repeated: true}
		}
	}
	o.checkFence(err)
	o.cell.StartAnswered(order, answer, err, time.Now())
	if err != nil {
		o.wake()
	}
}

func (o *Owner) startOnce(ctx context.Context, order cell.StartOrder, limit time.Duration) (runner.Answer, error) {
	began := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer, err := o.deps.Runner.Start(callCtx, order.Worker, order.Start)
	o.deps.Metrics.Starts.Inc()
	o.deps.Metrics.StartSeconds.UpdateDuration(began)
	switch {
	case err == nil:
		o.patience.Answered(time.Since(began))
	case errors.Is(err, runner.ErrNoAnswer):
		o.patience.GaveUp(time.Since(began))
	}
	if err != nil {
		o.deps.Metrics.StartErrors.Inc()
	}
	return answer, err
}

func (o *Owner) stop(ctx context.Context, order cell.StopOrder) {
	callCtx, cancel := context.WithTimeout(ctx, o.patience.Limit())
	defer cancel()
	answer, err := o.deps.Runner.Stop(callCtx, order.Worker, order.Stop)
	o.checkFence(err)
	o.cell.StopAnswered(order, answer, err, time.Now())
	if err != nil {
		o.wake()
	}
}

func (o *Owner) pace(ctx context.Context, order cell.PaceOrder) {
	_, err := o.deps.Runner.Throttle(ctx, order.Worker, order.Pace)
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
