package runner

// Stop orders a run to end.
type Stop struct {
	Task  string
	Run   uint64
	Token uint64
}
