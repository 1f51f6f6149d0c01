package fleet

// Order is a planner's message to an owner.
type Order struct {
	// PlannerEpoch and Sequence order all orders. An owner drops one that is
	// not above the last it took: a start that was delayed on the wire must
	// not revive a task that has ended and been forgotten since.
	PlannerEpoch uint64
	Sequence     uint64
	Assignments  []Assignment
}
