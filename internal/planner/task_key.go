package planner

// taskKey names a task of a run.
type taskKey struct {
	run   string
	index int
}

// start names an attempt whose start waits for its row.
type start struct {
	task    taskKey
	attempt int
}
