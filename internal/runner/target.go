package runner

// Target identifies one incarnation of a worker and its address.
type Target struct {
	ID string
	// Incarnation distinguishes the incarnations of one id. If it is 0 (unknown), calls
	// reach whichever incarnation answers.
	Incarnation Incarnation
	Address     string
	// Zone is the worker's availability zone, or empty if unknown.
	Zone string
}
