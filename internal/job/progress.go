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
	// Split means that the unfinished tasks are listed in parts, which are rows of their own, because
	// all of them exceed a row. An earlier version ignores the parts: it knows which tasks are done,
	// but not the checkpoints and failures. A row that it writes has no Split, so its parts are outdated.
	Split bool `cbor:"4,keyasint,omitempty"`
	// DoneOccurrences are occurrences of which every task is done and no run can exist any more.
	DoneOccurrences OccurrenceSet `cbor:"5,keyasint,omitempty"`
	// DoneListed means that Stages lists the stages of DoneOccurrences as well, for earlier versions, which
	// ignore DoneOccurrences and would run them again. Without it, the value has a version that they reject.
	DoneListed bool `cbor:"-"`
	// StoredParts are the parts that the store holds. They are known from the rows and not encoded.
	StoredParts []PartID `cbor:"-"`
}

// AddPart adds a stored part to the progress. The part of a progress without Split is outdated, and only
// recorded so that it can be removed.
func (p *Progress) AddPart(id PartID, part *Progress) {
	p.StoredParts = append(p.StoredParts, id)
	if p.Split {
		p.Stages = append(p.Stages, part.Stages...)
	}
}
