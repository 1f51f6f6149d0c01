package spec

// Start determines when a batch or job runs.
type Start string

// The starts.
const (
	// StartOnApply runs once for each accepted change of the workload.
	StartOnApply Start = "on-apply"
	// StartOnSubmit runs once for each submission by a caller.
	StartOnSubmit Start = "on-submit"
)
