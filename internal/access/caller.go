package access

// Caller is who a call comes from.
type Caller struct {
	// Workspace has the key of the call; it is empty where no key was needed.
	Workspace string
	// Anonymous says that the queue is open without a key.
	Anonymous bool
}

// MaySee reports whether the caller may see and cancel a job of a workspace. A job without
// one was handed in without a key.
func (c Caller) MaySee(workspace string) bool {
	return c.Anonymous || workspace == "" || workspace == c.Workspace
}
