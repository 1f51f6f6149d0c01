package runner

// End is one run that ended on a worker. The worker lists it until it is
// acknowledged.
type End struct {
	// Sequence rises by one with every end of this incarnation.
	Sequence   uint64
	Task       string
	Run        uint64
	Kind       EndKind
	Checkpoint string
}
