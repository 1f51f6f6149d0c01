package spec

import (
	"time"

	"gentianstand/internal/resource"
)

// Workload is one service, batch run or job of the text.
type Workload struct {
	Name    string          `json:"name"`
	Kind    Kind            `json:"kind"`
	Team    string          `json:"team"`
	Tasks   int             `json:"tasks"`
	Need    resource.Amount `json:"need"`
	Urgency Urgency         `json:"urgency"`
	Spread  Spread          `json:"spread"`
	Start   Start           `json:"start"`
	// DependsOn names workloads that must run (services) or have succeeded
	// (batch runs and jobs) before this one starts.
	DependsOn []string `json:"depends_on,omitempty"`
	Command   []string `json:"command,omitempty"`
	// Idempotent says that a task may be executed again after an attempt
	// whose end is unknown; true unless the text says otherwise. For a
	// service it says so of every request, and is false unless stated: then
	// the request's method decides (RFC 9110, section 9.2.2).
	Idempotent bool `json:"idempotent"`
	// Retries is how many more attempts a failed task gets.
	Retries int `json:"retries"`
	// RunTime is the declared run time of a task; 0 means not declared.
	RunTime time.Duration `json:"run_time"`
	// RunTimeLimit is when a task is stopped; 0 means never.
	RunTimeLimit time.Duration `json:"run_time_limit"`
	// Deadline is how long after its start a run must have finished, or how
	// long a request to a service may take; 0 means no deadline.
	Deadline time.Duration `json:"deadline"`
}
