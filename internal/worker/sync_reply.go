package worker

import "gentianstand/internal/resource"

// SyncReply is a worker's answer to its owner.
type SyncReply struct {
	// Boot changes whenever the worker's process starts anew.
	Boot string `json:"boot"`
	// Now is the worker's clock in milliseconds when it answered.
	Now      int64           `json:"now"`
	Capacity resource.Amount `json:"capacity"`
	// Slots is the number of requests the worker serves at a time.
	Slots int `json:"slots"`
	// Version grows with each change of a task on this worker.
	Version uint64 `json:"version"`
	// Tasks holds those changed after SyncRequest.Since.
	Tasks []TaskStatus `json:"tasks,omitempty"`
	// OlderRequests counts requests in progress that came under an epoch
	// below the present one; they hold slots the owner does not know of.
	OlderRequests int `json:"older_requests,omitempty"`
	// RequestStates answers SyncRequest.Doubt in its order.
	RequestStates []RequestState `json:"doubts,omitempty"`
}
