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
	// Worker and Boot say where the last attempt was sent.
	Worker string `json:"worker,omitempty"`
	Boot   string `json:"boot,omitempty"`
	// Need is what the last attempt was given.
	Need resource.Amount `json:"need"`
	// Definition is the hash of the workload that the last attempt runs.
	Definition string `json:"definition,omitempty"`
	Failures   int    `json:"failures,omitempty"`
	// Restarts counts the workers in a row that restarted while the task was starting
	// there.
	Restarts int `json:"restarts,omitempty"`
	// NotBefore is when the next attempt may start.
	NotBefore time.Time `json:"not_before,omitzero"`
	StartedAt time.Time `json:"started_at,omitzero"`
	EndedAt   time.Time `json:"ended_at,omitzero"`
	Result    string    `json:"result,omitempty"`
	Reason    string    `json:"reason,omitempty"`

	// Stopping and Seen are known to the planner only and not kept: whether
	// a stop was asked for, and whether the worker has shown the attempt.
	Stopping bool `json:"-"`
	Seen     bool `json:"-"`
}
