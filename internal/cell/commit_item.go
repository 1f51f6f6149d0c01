package cell

import "gentianstand/internal/job"

// CommitItem is the progress of one job to store.
type CommitItem struct {
	Job string
	// Progress is the row of the job, which is written each time.
	Progress *job.Progress
	// Parts are the changed parts of a progress that exceeds a row.
	Parts []CommitPart
	// FirstEnd is set if the progress completes or fails the job and it is not known to be stored
	// that the job has ended. The transaction must then require that the job has no mark, because a
	// job with a mark may have been shown as cancelled.
	FirstEnd bool
	jobState *jobState
}

// entries returns the number of entries of the transaction that the item takes.
func (i CommitItem) entries() int {
	if i.FirstEnd {
		return 2 + len(i.Parts)
	}
	return 1 + len(i.Parts)
}
