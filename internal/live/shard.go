package live

// PlannerShard is the name of the shard whose owner plans runs.
const PlannerShard = "planner"

// Shard is the row by which a process owns a shard.
type Shard struct {
	Name  string  `json:"name"`
	Owner Process `json:"owner"`
	// Epoch grows with each change of the owner. Workers refuse lower ones.
	Epoch uint64 `json:"epoch"`
	// Predecessors are earlier owners that have not been proved to have
	// stopped renewing leases on workers of this shard.
	Predecessors []Predecessor `json:"predecessors,omitempty"`
	// Version is the row's version as read; it is not stored.
	Version uint64 `json:"-"`
}
