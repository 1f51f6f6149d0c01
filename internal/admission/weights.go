package admission

// Weights returns the weight of a workspace, which is its share in jobs per second, and the sum of
// the weights of all workspaces. A weight of 0 is no share: its jobs are never beyond it.
type Weights func(workspace string) (weight, total float64)
