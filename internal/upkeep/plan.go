package upkeep

// Plan lists the next actions for a wave.
type Plan struct {
	// Evacuate lists the workers that get no new runs and whose runs are moved.
	Evacuate []string
	// Terminated lists the workers that were found to have ended since the last plan.
	Terminated []Termination
	// Begin lists the machines whose maintenance is to be ordered.
	Begin []string
	// Completed is set once the maintenance of every machine that still exists has begun
	// or is over.
	Completed bool
}
