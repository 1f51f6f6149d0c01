package cell

import "gentianstand/internal/job"

// CommitItem is the progress of one job.
type CommitItem struct {
	Job      string
	Progress *job.Progress
	// Version is the stored progress this one replaces, 0 for none.
	Version uint64
	state   *jobState
}
