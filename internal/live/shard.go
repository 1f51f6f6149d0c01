package live

// PlannerShard is the name of the shard whose owner plans runs.
const PlannerShard = "planner"

// Shard is the row that assigns a shard to its owner.
type Shard struct {
	Name  string  `json:"name"`
	Owner Process `json:"owner"`
	// Epoch is the fencing token of the shard: it increases with each change of the owner,
	// and workers refuse requests with a lower one.
	Epoch uint64 `json:"epoch"`
	// Predecessors are the previous owners that may still renew leases of workers of this
	// shard: it is not proven yet that they have stopped.
	Predecessors []Predecessor `json:"predecessors,omitempty"`
	// Version is the version of the row that was read; it is not part of the stored value.
	Version uint64 `json:"-"`
}
