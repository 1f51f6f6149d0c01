package cellowner

// Leadership is what an owner must know of its own ownership.
type Leadership interface {
	// Confirmed reports whether the ownership was confirmed lately, so that it is
	// safe to extend leases and to start runs.
	Confirmed() bool
	// Superseded reports that another owner was found.
	Superseded(why string)
}
