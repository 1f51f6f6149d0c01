package worker

import "gentianstand/internal/resource"

// SyncReply is a worker's answer to a SyncRequest.
type SyncReply struct {
	// Boot identifies the worker process; it changes with each restart.
	Boot string `json:"boot"`
	// Now is the worker's clock at the time of the answer, in milliseconds.
	Now      int64           `json:"now"`
	Capacity resource.Amount `json:"capacity"`
	// Slots is the number of requests that the worker serves concurrently.
	Slots int `json:"slots"`
	// Version increases with each change of a task on the worker.
	Version uint64 `json:"version"`
	// Tasks holds the tasks that changed after SyncRequest.Since.
	Tasks []TaskStatus `json:"tasks,omitempty"`
	// OlderRequests is the number of requests in progress that arrived under an earlier
	// epoch. They occupy slots that the current owner does not know of.
	OlderRequests int `json:"older_requests,omitempty"`
	// RequestStates holds the states of SyncRequest.UnconfirmedRequests, in the same
	// order.
	RequestStates []RequestState `json:"doubts,omitempty"`
}
