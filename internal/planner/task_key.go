package planner

// taskKey identifies a task of a run.
type taskKey struct {
	run   string
	index int
}

// start identifies an attempt that starts after its row has been written.
type start struct {
	task    taskKey
	attempt int
}
