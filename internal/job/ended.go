package job

// EndedRecord returns the compacted record of an ended job: its identity without spec and
// steps.
func EndedRecord(r *Record) *Record {
	return &Record{ID: r.ID, Queue: r.Queue, Service: r.Service, Workspace: r.Workspace, AcceptedAt: r.AcceptedAt, Ended: true}
}
