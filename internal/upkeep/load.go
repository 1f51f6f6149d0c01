package upkeep

// Load is what still runs on a worker that is being emptied.
type Load struct {
	// Runs is how many runs there are.
	Runs int
	// Protected says that one of them must not be ended now: too many others of its
	// step are away.
	Protected bool
}
