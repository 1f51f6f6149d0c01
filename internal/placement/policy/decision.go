package policy

// Decision is a policy's answer: a worker for each task, or none with the
// reason.
type Decision struct {
	// Nodes are indices into the cluster, one for each task.
	Nodes  []int
	Reason Reason
}

// Placed reports whether workers were found.
func (d Decision) Placed() bool { return d.Reason == Found }
