package cell

import "gentianstand/internal/job"

// CommitItem is the progress of one job.
type CommitItem struct {
	Job      string
	Progress *job.Progress
	state    *jobState
}
