package job

// EndedRecord returns what is kept of the record of a job that has ended.
func EndedRecord(r *Record) *Record {
	return &Record{ID: r.ID, Queue: r.Queue, Service: r.Service, Workspace: r.Workspace, AcceptedAt: r.AcceptedAt, Ended: true}
}
