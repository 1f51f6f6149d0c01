package policy

// Decision is the result of a policy: a worker for each task, or the reason why there is none.
type Decision struct {
	// Nodes are indices into the cluster, one for each task.
	Nodes  []int
	Reason Reason
}

// Placed reports whether workers were found.
func (d Decision) Placed() bool { return d.Reason == Found }
