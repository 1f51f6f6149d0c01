package worker

import "gentianstand/internal/resource"

// TaskStart orders a worker to run a task.
type TaskStart struct {
	Ref      TaskRef         `json:"ref"`
	Workload string          `json:"workload"`
	Need     resource.Amount `json:"need"`
	// Service means that the task serves requests and does not end on its own.
	Service bool     `json:"service,omitempty"`
	Command []string `json:"command,omitempty"`
	// LimitMillis is the run-time limit in milliseconds; 0 means no limit.
	LimitMillis int64 `json:"limit_millis,omitempty"`
	// CheckpointFrom is the key of the checkpoint object to resume from, if any.
	CheckpointFrom string `json:"checkpoint_from,omitempty"`
}
