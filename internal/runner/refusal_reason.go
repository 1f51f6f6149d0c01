package runner

// RefusalReason states why a worker refused an order.
type RefusalReason string

// The reasons for which a worker refuses an order.
const (
	// Fenced means that the worker has seen a higher fencing token.
	Fenced RefusalReason = "fenced"
	// RunTooOld means that the worker already has this run or a higher one of the task.
	RunTooOld RefusalReason = "run_too_old"
	// OrderExpired means that the order arrived after the end of the lease it carries.
	OrderExpired RefusalReason = "lease_over"
	// InsufficientCapacity means that the worker checks its free capacity and has too
	// little for the task.
	InsufficientCapacity RefusalReason = "no_room"
	// BadTicket means that the placement ticket is missing or has expired.
	BadTicket RefusalReason = "bad_ticket"
	// Unhealthy means that the worker declined because it is unhealthy.
	Unhealthy RefusalReason = "unhealthy"
	// Malformed means that the worker could not parse the order.
	Malformed RefusalReason = "malformed"
)
