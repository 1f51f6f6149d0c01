package cell

import (
	"gentianstand/internal/job"
)

// AdviceOrder requests tickets from the placement adviser for a stage and a list of workers.
type AdviceOrder struct {
	Stage job.StageID
	// Term is the fencing token of the requesting owner.
	Term    uint64
	Cost    job.AdviceCost
	Workers []string
	// Slow marks a call that must not share an adviser instance with quick calls, which would
	// wait behind it.
	Slow bool
	// MayUseQuick allows a slow call at an instance that carries quick calls only.
	MayUseQuick bool
}

func (AdviceOrder) isOrder() {}
