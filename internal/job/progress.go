package job

// Progress is the durable state of a job's execution: which tasks are done, which runs
// failed, and the last checkpoints. It does not record which worker runs what; a new owner
// gets that from the workers' reports.
type Progress struct {
	// Final is the job's final state, or empty while the job is active.
	Final State `cbor:"1,keyasint,omitempty"`
	// EndedAtMillis is the wall-clock time at which the job reached its final state. The
	// retention period of the job's rows starts at this time.
	EndedAtMillis int64 `cbor:"2,keyasint,omitempty"`
	// Stages lists the stages of which a task is done, has failed, has a checkpoint or has been
	// started.
	Stages []StageProgress `cbor:"3,keyasint,omitempty"`
}
