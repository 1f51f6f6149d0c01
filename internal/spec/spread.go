package spec

// Spread is the kind of failure domain across which the tasks of a workload are spread.
type Spread string

// The failure domains, from the largest to none.
const (
	SpreadZone   Spread = "zone"
	SpreadRack   Spread = "rack"
	SpreadWorker Spread = "worker"
	SpreadNone   Spread = "none"
)
