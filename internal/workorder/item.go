// Package workorder decides in which order waiting work gets capacity. It performs no I/O.
package workorder

import "time"

// Item describes a waiting stage of a job.
type Item struct {
	// Job is the job's id.
	Job string
	// Priority is the priority of the job's queue; 0 is the most urgent.
	Priority int
	// OverShare is set if the job is beyond the share of its workspace.
	OverShare bool
	// LatestStart is when the stage must start for the job to be in time, and Late is set if that
	// has passed.
	LatestStart time.Time
	Late        bool
	// Started is set if a task of the stage has had a run, and JobStarted if one of the job has.
	Started, JobStarted bool
	// RemainingPath is the ideal time from the stage's start to the end of the job.
	RemainingPath time.Duration
	// RemainingWork is the work from the stage to the end of the job, in processor-seconds. It is
	// needed for priority 0 only.
	RemainingWork float64
}
