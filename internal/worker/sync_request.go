package worker

// SyncRequest is a message from an owner to a worker.
type SyncRequest struct {
	// Owner is the id of the owning instance, for the worker's log.
	Owner string `json:"owner"`
	// Epoch is the fencing token of the owner's shard.
	Epoch uint64 `json:"epoch"`
	// Seq increases with every message of an epoch. A worker drops a message whose Seq is
	// not higher than the last one: a start that was delayed in the network must not
	// restart a task that has ended and been forgotten since.
	Seq uint64 `json:"seq"`
	// LeaseUntil is the time at which the worker must stop all tasks unless the lease is
	// extended, in milliseconds of the worker's clock (see SyncReply.Now). The time is
	// absolute so that a delayed message cannot extend the lease further than its sender
	// intended.
	LeaseUntil int64 `json:"lease_until"`
	// Boot identifies the worker process that the lease and Start are meant for. A worker
	// that has restarted ignores those meant for its previous process.
	Boot  string      `json:"boot"`
	Start []TaskStart `json:"start,omitempty"`
	Stop  []TaskStop  `json:"stop,omitempty"`
	// Ack lists ended tasks that the worker may forget.
	Ack []TaskRef `json:"ack,omitempty"`
	// Since is the SyncReply.Version of the last reply. The next reply omits tasks that
	// have not changed since; 0 requests all tasks.
	Since uint64 `json:"since"`
	// UnconfirmedRequests lists the ids of requests that were sent but not answered. The
	// worker must refuse from now on those that it has not received.
	UnconfirmedRequests []string `json:"doubt,omitempty"`
}
