package access

// Caller identifies the origin of a call.
type Caller struct {
	// Workspace is the workspace that owns the call's API key; it is empty if no key was
	// required.
	Workspace string
	// Anonymous means that the queue accepts calls without a key.
	Anonymous bool
}

// MaySee reports whether the caller may see and cancel a job of the given workspace. A job
// without a workspace was submitted without a key.
func (c Caller) MaySee(workspace string) bool {
	return c.Anonymous || workspace == "" || workspace == c.Workspace
}
