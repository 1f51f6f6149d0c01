package routing

// Result is how a granted request went, for the upstream's standing.
type Result int

// The results.
const (
	// Answered means that the upstream gave an answer, of whatever status.
	Answered Result = iota
	// Failed means that it failed to answer.
	Failed
	// Abandoned means that the caller went away; it says nothing about the
	// upstream.
	Abandoned
)
