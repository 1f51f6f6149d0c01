package worker

import "gentianstand/internal/resource"

// TaskStatus is a worker's report on one attempt.
type TaskStatus struct {
	Ref      TaskRef         `json:"ref"`
	Workload string          `json:"workload"`
	State    TaskState       `json:"state"`
	Need     resource.Amount `json:"need"`
	// Service means that the task serves requests and does not end on its own.
	Service bool `json:"service,omitempty"`
	// Used is the measured usage, which is some seconds old.
	Used resource.Amount `json:"used"`
	// Result is the output of the task, at most a few KiB.
	Result string `json:"result,omitempty"`
	// Reason explains why the attempt was refused or failed.
	Reason string `json:"reason,omitempty"`
}
