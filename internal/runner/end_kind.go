package runner

// EndKind classifies how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	// Done means success. For a gang, one such end stands for all members.
	Done EndKind = "done"
	// Failed means that the run failed, through a fault of the task or of the worker.
	Failed EndKind = "failed"
	// Stopped means that the run was stopped by an order.
	Stopped EndKind = "stopped"
	// LeaseExpired means that the worker's lease expired.
	LeaseExpired EndKind = "lapsed"
	// GangBroken means that another member of the gang ended.
	GangBroken EndKind = "broken"
	// GangIncomplete means that the gang's other members did not start in time.
	GangIncomplete EndKind = "alone"
)
