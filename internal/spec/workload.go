package spec

import (
	"time"

	"gentianstand/internal/resource"
)

// Workload is a service, batch run or job that the text declares.
type Workload struct {
	Name    string          `json:"name"`
	Kind    Kind            `json:"kind"`
	Team    string          `json:"team"`
	Tasks   int             `json:"tasks"`
	Need    resource.Amount `json:"need"`
	Urgency Urgency         `json:"urgency"`
	Spread  Spread          `json:"spread"`
	Start   Start           `json:"start"`
	// DependsOn contains the names of the workloads that must be running (services) or must
	// have succeeded (batch runs and jobs) before this one starts.
	DependsOn []string `json:"depends_on,omitempty"`
	Command   []string `json:"command,omitempty"`
	// Idempotent permits a task to be executed again after an attempt whose outcome is
	// unknown; the default is true. For a service it applies to every request and defaults
	// to false, in which case the request's method decides (RFC 9110, section 9.2.2).
	Idempotent bool `json:"idempotent"`
	// Retries is the number of further attempts after a task has failed.
	Retries int `json:"retries"`
	// RunTime is the declared run time of a task; 0 means not declared.
	RunTime time.Duration `json:"run_time"`
	// RunTimeLimit is how long a task may run before it is stopped; 0 means no limit.
	RunTimeLimit time.Duration `json:"run_time_limit"`
	// Deadline is the time from its start within which a run must finish, or within which a
	// request to a service must be answered; 0 means no deadline.
	Deadline time.Duration `json:"deadline"`
}
