package cell

import (
	"gentianstand/internal/job"
)

// AdviceOrder asks the placement adviser about workers for a stage.
type AdviceOrder struct {
	Stage job.StageID
	// Term is the fencing token of the owner that asks.
	Term    uint64
	Cost    job.AdviceCost
	Workers []string
	// Slow calls must not go where quick calls wait behind them.
	Slow bool
}

func (AdviceOrder) isOrder() {}
