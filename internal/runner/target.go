package runner

// Target is one incarnation of a worker and where it listens.
type Target struct {
	// ID changes with every incarnation.
	ID      string
	Address string
}
