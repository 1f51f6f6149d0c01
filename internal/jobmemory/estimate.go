package jobmemory

import "gentianstand/internal/job"

// The memory of the parts of a job at the owner, including the runs of its tasks.
const (
	jobBytes        = 1 << 10
	stepBytes       = 1 << 10
	taskBytes       = 512
	dependencyBytes = 24
)

// Of returns the estimated memory that a job takes at the owner. A schedule counts as one occurrence; the
// cell limits how many of them exist at a time.
func Of(r *job.Record) int64 {
	sum := int64(jobBytes + len(r.Spec))
	for i := range r.Steps {
		s := &r.Steps[i]
		sum += stepBytes + int64(s.Count)*taskBytes + int64(len(s.DependsOn))*dependencyBytes
	}
	return sum
}
