package routing

// Result is the outcome of a granted request, used to detect failing upstreams.
type Result int

// The results of a granted request.
const (
	// Answered means that the upstream responded, with any status.
	Answered Result = iota
	// Failed means that the upstream failed to respond.
	Failed
	// Abandoned means that the caller disconnected; it has no bearing on the upstream.
	Abandoned
)
