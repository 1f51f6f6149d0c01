package runner

// Target is one incarnation of a worker and where it listens.
type Target struct {
	// ID changes with every incarnation.
	ID      string
	Address string
	// Zone is its availability zone, or empty if that is not known.
	Zone string
}
