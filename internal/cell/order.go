package cell

import (
	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// Order is something the owner must carry out: a StartOrder, StopOrder,
// PaceOrder or AdviceOrder.
type Order interface{ isOrder() }

// StartOrder starts a run.
type StartOrder struct {
	Worker runner.Target
	Task   job.TaskID
	Start  runner.Start
}

// StopOrder ends a run.
type StopOrder struct {
	Worker runner.Target
	Task   job.TaskID
	Stop   runner.Stop
}

// PaceOrder sets the speed of a run.
type PaceOrder struct {
	Worker runner.Target
	Task   job.TaskID
	Pace   runner.Pace
}

// AdviceOrder asks the placement adviser about workers for a stage.
type AdviceOrder struct {
	Stage   job.StageID
	Cost    job.AdviceCost
	Workers []string
	// Slow calls must not go where quick calls wait behind them.
	Slow bool
}

func (StartOrder) isOrder()  {}
func (StopOrder) isOrder()   {}
func (PaceOrder) isOrder()   {}
func (AdviceOrder) isOrder() {}
