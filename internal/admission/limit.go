package admission

import (
	"time"

	"gentianstand/internal/job"
)

const (
	// lateFactor times a job's objective is the longest expected wait with which a job is accepted
	// that is not beyond a share. At twice that wait, the result is of little use to most callers.
	// Work beyond the limit would wait until the load is over, because work that still meets its
	// objective runs first. A lower limit for work within shares refused jobs that were in time
	// without it: urgent work of the same wait is rarely late, and estimates are off by up to a half.
	lateFactor = 1.5
	// beyondFactor times the objective is the latest expected end of a job beyond a share. Such a
	// job runs on what others leave, so that it may be late, but not as late as lateBound: the
	// estimates are off by up to a half.
	beyondFactor = 2
	// lateBound times the objective is the age from which a result has no value.
	lateBound = 3
)

// limitOf returns the longest expected wait with which a job is accepted.
func limitOf(r *job.Record, class Class) time.Duration {
	objective := float64(r.Objective())
	if class == BeyondShare {
		return time.Duration(beyondFactor*objective) - r.CriticalPath()
	}
	return time.Duration(lateFactor * objective)
}
