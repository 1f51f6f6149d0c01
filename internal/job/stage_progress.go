package job

// StageProgress is the durable state of one stage.
type StageProgress struct {
	Occurrence int `cbor:"1,keyasint,omitempty"`
	Step       int `cbor:"2,keyasint,omitempty"`
	// Done is the bit set of finished tasks, by task index.
	Done []byte `cbor:"3,keyasint,omitempty"`
	// Tasks lists the unfinished tasks that have failed or written a checkpoint.
	Tasks []TaskProgress `cbor:"4,keyasint,omitempty"`
}

// IsDone reports whether the task with the given index is done.
func (p *StageProgress) IsDone(index int) bool {
	at := index / 8
	return at < len(p.Done) && p.Done[at]&(1<<(index%8)) != 0
}

// AllDone reports whether the first count tasks are all done.
func (p *StageProgress) AllDone(count int) bool {
	for index := range count {
		if !p.IsDone(index) {
			return false
		}
	}
	return true
}

// DoneStage returns the progress of a stage of which all tasks are done.
func DoneStage(occurrence, step, count int) StageProgress {
	p := StageProgress{Occurrence: occurrence, Step: step}
	for index := range count {
		p.SetDone(index)
	}
	return p
}

// SetDone marks the task with the given index as done.
func (p *StageProgress) SetDone(index int) {
	for len(p.Done) <= index/8 {
		p.Done = append(p.Done, 0)
	}
	p.Done[index/8] |= 1 << (index % 8)
}
