package job

// TaskProgress is the durable state of an unfinished task.
type TaskProgress struct {
	Index int `cbor:"1,keyasint,omitempty"`
	// FailedRuns are the runs that ended as failed. A worker reports an end until it is
	// acknowledged, so a new owner may see one that is already counted.
	FailedRuns []uint64 `cbor:"2,keyasint,omitempty"`
	// LastRun is the highest run number for which a start was ordered.
	LastRun uint64 `cbor:"4,keyasint,omitempty"`
	// Checkpoint is the last checkpoint, or empty.
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// CrashedRuns are the runs during which a worker crashed. LostRuns are the runs whose
	// worker became unresponsive while they were starting.
	CrashedRuns []uint64 `cbor:"6,keyasint,omitempty"`
	LostRuns    []uint64 `cbor:"7,keyasint,omitempty"`
	// CrashedAtStart is the number of workers of CrashedRuns that became unresponsive as
	// soon as the run had started.
	CrashedAtStart int `cbor:"8,keyasint,omitempty"`
	// LostAtMillis is when the last of the workers of LostRuns became unresponsive, in Unix
	// milliseconds on the owner's wall clock, or 0 if unknown.
	LostAtMillis int64 `cbor:"9,keyasint,omitempty"`
	// CrashedLater is the number of workers of CrashedRuns that became unresponsive only some
	// time after the run had started. For the rest the time is not known.
	CrashedLater int `cbor:"10,keyasint,omitempty"`
}
