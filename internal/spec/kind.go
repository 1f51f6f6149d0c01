package spec

// Kind tells how the tasks of a workload behave.
type Kind string

// The kinds of workload.
const (
	// Service runs its replicas until the text no longer names it.
	Service Kind = "service"
	// Batch runs each of its tasks once, in any order.
	Batch Kind = "batch"
	// Job runs all its tasks at once or none of them (a gang).
	Job Kind = "job"
)
