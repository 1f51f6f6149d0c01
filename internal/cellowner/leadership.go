package cellowner

// Leadership is what an owner knows about its own ownership.
type Leadership interface {
	// Confirmed reports whether the ownership was confirmed recently, so that it is safe to
	// extend leases and to start runs.
	Confirmed() bool
	// Superseded reports that another owner was found, which ends the ownership.
	Superseded(why string)
}
