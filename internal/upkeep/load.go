package upkeep

// Load describes the runs that remain on a worker that is being evacuated.
type Load struct {
	// Runs is the number of runs on the worker.
	Runs int
	// Protected is set if one of the runs must not be ended now, because too many other
	// tasks of its step are down.
	Protected bool
}
