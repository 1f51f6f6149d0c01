package worker

// SyncRequest is an owner's message to a worker.
type SyncRequest struct {
	// Owner is the id of the owning instance, for the worker's log.
	Owner string `json:"owner"`
	// Epoch is the fencing token of the owner's shard.
	Epoch uint64 `json:"epoch"`
	// Seq grows with every message of one epoch. A worker drops a message
	// whose Seq is not above the last one: a start that was delayed on the
	// wire must not revive a task that has ended and been forgotten since.
	Seq uint64 `json:"seq"`
	// LeaseUntil is when the worker must stop all tasks unless it hears
	// more, in milliseconds of the worker's own clock as returned in
	// SyncReply.Now. An absolute time makes a message that arrives late
	// unable to extend the lease beyond what its sender meant.
	LeaseUntil int64 `json:"lease_until"`
	// Boot is the worker process that Start is meant for; a worker that
	// restarted ignores starts for its predecessor.
	Boot  string      `json:"boot"`
	Start []TaskStart `json:"start,omitempty"`
	Stop  []TaskStop  `json:"stop,omitempty"`
	// Ack lists ended tasks that the worker may forget.
	Ack []TaskRef `json:"ack,omitempty"`
	// Since is SyncReply.Version of the last reply; tasks that have not
	// changed since are left out of the next one. 0 asks for all.
	Since uint64 `json:"since"`
	// UnconfirmedRequests lists ids of requests that were sent but not answered. One that
	// the worker has not seen, it must refuse from now on.
	UnconfirmedRequests []string `json:"doubt,omitempty"`
}
