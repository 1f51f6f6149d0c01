package runner

// EndKind tells how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	// Done is success; of a gang, one such end stands for all members.
	Done EndKind = "done"
	// Failed is a failure by the task's own fault or the worker's.
	Failed EndKind = "failed"
	// Stopped follows an order.
	Stopped EndKind = "stopped"
	// LeaseExpired follows the end of the worker's lease.
	LeaseExpired EndKind = "lapsed"
	// GangBroken follows the end of another member of the gang.
	GangBroken EndKind = "broken"
	// GangIncomplete means that a gang's other members did not come in time.
	GangIncomplete EndKind = "alone"
)
