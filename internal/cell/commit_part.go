package cell

import "gentianstand/internal/job"

// CommitPart is a part of a job's progress to store.
type CommitPart struct {
	ID job.PartID
	// Progress is the content of the part, or nil if its row is to be removed.
	Progress *job.Progress
}
