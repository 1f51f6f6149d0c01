package run

import (
	"time"

	"gentianstand/internal/resource"
)

// Task is one task of a run.
type Task struct {
	State TaskState `json:"state"`
	// Attempt is the number of the last attempt; 0 before the first.
	Attempt int `json:"attempt,omitempty"`
	// Worker and Boot identify the worker and its process to which the last
	// attempt was assigned.
	Worker string `json:"worker,omitempty"`
	Boot   string `json:"boot,omitempty"`
	// Need is the amount of resources given to the last attempt.
	Need resource.Amount `json:"need"`
	// Definition is the hash of the workload that the last attempt runs.
	Definition string `json:"definition,omitempty"`
	Failures   int    `json:"failures,omitempty"`
	// Restarts is the number of successive workers that restarted while the
	// task was starting on them.
	Restarts int `json:"restarts,omitempty"`
	// NotBefore is when the next attempt may start.
	NotBefore time.Time `json:"not_before,omitzero"`
	StartedAt time.Time `json:"started_at,omitzero"`
	EndedAt   time.Time `json:"ended_at,omitzero"`
	Result    string    `json:"result,omitempty"`
	Reason    string    `json:"reason,omitempty"`

	// Stopping and Reported are used only by the planner and not stored:
	// whether a stop was requested, and whether the worker has reported the
	// attempt.
	Stopping bool `json:"-"`
	Reported bool `json:"-"`
}
