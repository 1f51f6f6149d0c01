package worker

import "gentianstand/internal/resource"

// TaskStart asks a worker to run a task.
type TaskStart struct {
	Ref      TaskRef         `json:"ref"`
	Workload string          `json:"workload"`
	Need     resource.Amount `json:"need"`
	// Service says that the task serves requests and does not end by itself.
	Service bool     `json:"service,omitempty"`
	Command []string `json:"command,omitempty"`
	// LimitMillis is the run-time limit in milliseconds; 0 means none.
	LimitMillis int64 `json:"limit_millis,omitempty"`
	// CheckpointFrom names the object to resume from, if any.
	CheckpointFrom string `json:"checkpoint_from,omitempty"`
}
