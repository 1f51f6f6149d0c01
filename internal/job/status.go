package job

// Status is the answer to a query about a job.
type Status struct {
	State State
	// Workspace is the workspace that owns the job; see Record.
	Workspace string
}
