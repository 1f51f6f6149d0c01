package audit

// Action is the kind of a recorded change.
type Action string

// The actions that are recorded in the audit trail.
const (
	Apply  Action = "apply"
	Submit Action = "submit"
	Cancel Action = "cancel"
	Drain  Action = "drain"
	Resume Action = "resume"
)
