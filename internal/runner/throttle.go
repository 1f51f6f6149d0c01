package runner

// Throttle sets the speed of a run.
type Throttle struct {
	Task  string
	Run   uint64
	Token uint64
	// Percent of full speed, 0 to 100.
	Percent int
}
