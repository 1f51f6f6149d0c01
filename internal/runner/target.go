package runner

// Target is one incarnation of a worker and where it listens.
type Target struct {
	ID string
	// Incarnation tells the incarnations under one id apart. If it is 0, because it is not
	// known, calls reach any of them.
	Incarnation Incarnation
	Address     string
	// Zone is its availability zone, or empty if that is not known.
	Zone string
}
