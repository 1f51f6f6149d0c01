package runner

// End describes a run that ended on a worker. The worker keeps reporting it until it is
// acknowledged.
type End struct {
	// Sequence increases by one with every end in this incarnation.
	Sequence   uint64
	Task       string
	Run        uint64
	Kind       EndKind
	Checkpoint string
}
