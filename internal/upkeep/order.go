package upkeep

// Order requests the maintenance of a machine.
type Order struct {
	Machine string
	Wave    uint64
	// Holder is the instance that sends the order, Token its fencing token.
	Holder string
	Token  uint64
}
