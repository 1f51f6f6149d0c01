package job

// Progress is what must survive of a job's execution: which tasks are done,
// which runs failed, and the last checkpoints. What runs where is not in it; a
// new owner learns that from the workers.
type Progress struct {
	// Final is the job's final state, or empty while it goes on.
	Final State `cbor:"1,keyasint,omitempty"`
	// EndedAtMillis is the wall clock of the final state, for removal later.
	EndedAtMillis int64 `cbor:"2,keyasint,omitempty"`
	// Stages lists the stages that have something to keep.
	Stages []StageProgress `cbor:"3,keyasint,omitempty"`
}
