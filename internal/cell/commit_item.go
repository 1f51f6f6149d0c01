package cell

import "gentianstand/internal/job"

// CommitItem is the progress of one job to store.
type CommitItem struct {
	Job      string
	Progress *job.Progress
	// FirstEnd is set if the progress completes or fails the job and it is not known to be stored
	// that the job has ended. The transaction must then require that the job has no mark, because a
	// job with a mark may have been shown as cancelled.
	FirstEnd bool
	jobState *jobState
}
