package admission

// Class says by which backlog a job is judged.
type Class string

const (
	// NoShare is a job without a workspace, or of one without a share.
	NoShare Class = "none"
	// WithinShare is a job within the share of its workspace. Only work within shares runs before
	// it.
	WithinShare Class = "within"
	// BeyondShare is a job beyond the share of its workspace. It runs on what the others leave.
	BeyondShare Class = "beyond"
)
