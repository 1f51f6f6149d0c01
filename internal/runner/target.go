package runner

// Target is one incarnation of a worker and where it listens.
type Target struct {
	ID string
	// Born tells the incarnations under one id apart, or is 0 if it is not known.
	Born    Born
	Address string
	// Zone is its availability zone, or empty if that is not known.
	Zone string
}
