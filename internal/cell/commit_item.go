package cell

import "gentianstand/internal/job"

// CommitItem is the progress of one job to store.
type CommitItem struct {
	Job      string
	Progress *job.Progress
	jobState *jobState
}
