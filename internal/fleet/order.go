package fleet

// Order is a planner's message to an owner.
type Order struct {
	// PlannerEpoch and Sequence define a total order of all orders. An owner
	// drops one that is not above the last it accepted, because a start delayed
	// in the network must not start a task again that has ended and been
	// forgotten in the meantime.
	PlannerEpoch uint64
	Sequence     uint64
	Assignments  []Assignment
}
