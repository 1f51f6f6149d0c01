package spec

// Spread names what replicas are kept apart on.
type Spread string

// The levels of spreading.
const (
	SpreadZone   Spread = "zone"
	SpreadRack   Spread = "rack"
	SpreadWorker Spread = "worker"
	SpreadNone   Spread = "none"
)
