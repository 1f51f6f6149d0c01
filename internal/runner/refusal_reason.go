package runner

// RefusalReason tells why a worker did nothing.
type RefusalReason string

// The reasons for which a worker refuses an order.
const (
	// Fenced means that the worker has seen a higher fencing token.
	Fenced RefusalReason = "fenced"
	// RunTooOld means that this or a higher run was there already.
	RunTooOld RefusalReason = "run_too_old"
	// OrderExpired means that the order came after the lease it carries.
	OrderExpired RefusalReason = "lease_over"
	// InsufficientCapacity means that the worker checks its capacity and lacks it.
	InsufficientCapacity RefusalReason = "no_room"
	// BadTicket means that the placement ticket is missing or has expired.
	BadTicket RefusalReason = "bad_ticket"
	// Unhealthy means that the worker declined because it is not well.
	Unhealthy RefusalReason = "unhealthy"
	// Malformed means that the worker did not understand the order.
	Malformed RefusalReason = "malformed"
)
