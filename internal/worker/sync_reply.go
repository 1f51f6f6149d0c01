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
	Slots int          `json:"slots"`
	Tasks []TaskStatus `json:"tasks,omitempty"`
	// Requests lists the ids of the requests in progress.
	Requests []string `json:"requests,omitempty"`
	// Finished lists the ids of requests that ended lately.
	Finished []string `json:"finished,omitempty"`
}
