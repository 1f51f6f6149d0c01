package upkeep

// Order is the order of a machine's upkeep.
type Order struct {
	Machine string
	Wave    uint64
	// Holder and Token are the instance that orders and its fencing token.
	Holder string
	Token  uint64
}
