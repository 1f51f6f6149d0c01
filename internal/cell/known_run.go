package cell

// KnownRun is a run that may exist on a cordoned worker, or may have crashed a worker.
type KnownRun struct {
	// Task is the task's name, as in runner.RunState.
	Task string `cbor:"1,keyasint"`
	Run  uint64 `cbor:"2,keyasint"`
}
