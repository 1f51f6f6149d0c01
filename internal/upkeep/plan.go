package upkeep

// Plan is what to do about a wave now.
type Plan struct {
	// Evacuate are the workers that get nothing new and whose runs are moved.
	Evacuate []string
	// Begin are the machines whose upkeep is to be ordered.
	Begin []string
	// Completed says that every machine that is still there has had its upkeep.
	Completed bool
}
