package audit

// Action names a kind of change.
type Action string

// The actions that leave an entry.
const (
	Apply  Action = "apply"
	Submit Action = "submit"
	Cancel Action = "cancel"
	Drain  Action = "drain"
	Resume Action = "resume"
)
