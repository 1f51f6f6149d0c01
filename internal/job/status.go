package job

// Status is what is known of a job that a caller asks about.
type Status struct {
	State State
	// Workspace is whose job it is; see Record.
	Workspace string
}
