package worker

import "gentianstand/internal/resource"

// TaskStatus is a worker's word on one attempt.
type TaskStatus struct {
	Ref      TaskRef         `json:"ref"`
	Workload string          `json:"workload"`
	State    TaskState       `json:"state"`
	Need     resource.Amount `json:"need"`
	Service  bool            `json:"service,omitempty"`
	// Used is measured usage; it lags by seconds.
	Used resource.Amount `json:"used"`
	// Result is what the task printed, at most a few KiB.
	Result string `json:"result,omitempty"`
	// Reason tells why the attempt was refused or failed.
	Reason string `json:"reason,omitempty"`
}
