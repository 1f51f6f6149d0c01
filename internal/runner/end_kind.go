package runner

// EndKind tells how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	// Done is success; of a gang, one such end stands for all members.
	Done EndKind = "done"
	// FailedRun is a failure by the task's own fault or the worker's.
	FailedRun EndKind = "failed"
	// Stopped follows an order.
	Stopped EndKind = "stopped"
	// Lapsed follows the end of the worker's lease.
	Lapsed EndKind = "lapsed"
	// Broken follows the end of another member of the gang.
	Broken EndKind = "broken"
	// Alone means that a gang's other members did not come in time.
	Alone EndKind = "alone"
)
