package run

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"gentianstand/internal/spec"
)

// Run is one execution of a workload.
type Run struct {
	ID       string        `json:"id"`
	Workload spec.Workload `json:"workload"`
	// Definition is the hash of Workload without its number of tasks.
	Definition string `json:"definition"`
	// Submitted is true if a caller requested the run, and false if it comes
	// from the configuration.
	Submitted   bool      `json:"submitted"`
	By          string    `json:"by"`
	SubmittedAt time.Time `json:"submitted_at"`
	FinishedAt  time.Time `json:"finished_at,omitzero"`
	State       State     `json:"state"`
	// CancelledBy is who cancelled the run, or empty.
	CancelledBy string `json:"cancelled_by,omitempty"`
	// Reason is why the run waits, or how it ended.
	Reason string `json:"reason,omitempty"`
	Tasks  []Task `json:"tasks,omitempty"`
}

// New returns a waiting run of a workload.
func New(id string, w spec.Workload, by string, submitted bool, now time.Time) *Run {
	r := &Run{
		ID: id, Workload: w, Definition: Definition(w), Submitted: submitted, By: by,
		SubmittedAt: now, State: Waiting, Tasks: make([]Task, w.Tasks),
	}
	for i := range r.Tasks {
		r.Tasks[i].State = TaskPending
	}
	return r
}

// Definition returns the hash of what a workload's tasks run. The number of
// tasks is excluded, because a change of it alone needs no restart.
func Definition(w spec.Workload) string {
	w.Tasks = 0
	data, _ := json.Marshal(w)
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:6])
}

// ServiceID returns the ID of the only run of a service.
func ServiceID(name string) string { return "service-" + name }

// AppliedID returns the ID of the run that a configuration requests. The same
// definition yields the same ID, so applying it again starts nothing twice.
func AppliedID(w spec.Workload) string {
	if w.Kind == spec.Service {
		return ServiceID(w.Name)
	}
	data, _ := json.Marshal(w)
	sum := sha256.Sum256(data)
	return w.Name + "-" + hex.EncodeToString(sum[:5])
}

// SubmittedID returns the ID of a run that a caller requested with a key. The
// same key yields the same ID, whichever instance receives the retry.
func SubmittedID(workload, key string) string {
	sum := sha256.Sum256([]byte(workload + "\x00" + key))
	return workload + "-" + hex.EncodeToString(sum[:10])
}

// Count returns the number of tasks in a state.
func (r *Run) Count(state TaskState) int {
	n := 0
	for i := range r.Tasks {
		if r.Tasks[i].State == state {
			n++
		}
	}
	return n
}
