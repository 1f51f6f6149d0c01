package job

// TaskProgress is the kept part of one unfinished task.
type TaskProgress struct {
	Index int `cbor:"1,keyasint,omitempty"`
	// FailedRuns are the runs that ended as failed. A worker lists an end until it
	// is acknowledged, so a new owner may see a counted one again.
	FailedRuns []uint64 `cbor:"2,keyasint,omitempty"`
	// LastRun is the highest run that was ordered.
	LastRun uint64 `cbor:"4,keyasint,omitempty"`
	// Checkpoint is the last checkpoint, or empty.
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// CrashedRuns are the runs under which a worker crashed, LostRuns those whose worker
	// fell silent while they were starting.
	CrashedRuns []uint64 `cbor:"6,keyasint,omitempty"`
	LostRuns    []uint64 `cbor:"7,keyasint,omitempty"`
	// CrashedAtStart is how many of the workers of CrashedRuns fell silent as soon as the
	// run had begun.
	CrashedAtStart int `cbor:"8,keyasint,omitempty"`
	// LostAtMillis is when the last of the workers of LostRuns fell silent, by the owner's
	// time of day since 1970, or 0 if it was not kept.
	LostAtMillis int64 `cbor:"9,keyasint,omitempty"`
}
