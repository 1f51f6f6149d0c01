package cell

// KnownRun is a run that may be on a closed worker.
type KnownRun struct {
	// Task is the task's name, as in runner.RunState.
	Task string `cbor:"1,keyasint"`
	Run  uint64 `cbor:"2,keyasint"`
}
