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
	// Definition is the hash of Workload.
	Definition string `json:"definition"`
	// Submitted says that a caller asked for the run, not the text.
	Submitted   bool      `json:"submitted"`
	By          string    `json:"by"`
	SubmittedAt time.Time `json:"submitted_at"`
	FinishedAt  time.Time `json:"finished_at,omitzero"`
	State       State     `json:"state"`
	// CancelledBy is who asked for the end, if somebody did.
	CancelledBy string `json:"cancelled_by,omitempty"`
	// Reason tells why the run waits, or how it ended.
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
// tasks is left out: a change of it alone needs no restart.
func Definition(w spec.Workload) string {
	w.Tasks = 0
	data, _ := json.Marshal(w)
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:6])
}

// ServiceID returns the id of the one run of a service.
func ServiceID(name string) string { return "service-" + name }

// AppliedID returns the id of the run that a text asks for. The same text
// gives the same id, so planning it again starts nothing twice.
func AppliedID(w spec.Workload) string {
	if w.Kind == spec.Service {
		return ServiceID(w.Name)
	}
	data, _ := json.Marshal(w)
	sum := sha256.Sum256(data)
	return w.Name + "-" + hex.EncodeToString(sum[:5])
}

// SubmittedID returns the id of a run that a caller asked for with a key. The
// same key gives the same id, at whichever instance the repeat arrives.
func SubmittedID(workload, key string) string {
	sum := sha256.Sum256([]byte(workload + "\x00" + key))
	return workload + "-" + hex.EncodeToString(sum[:10])
}

// Count returns how many tasks are in a state.
func (r *Run) Count(state TaskState) int {
	n := 0
	for i := range r.Tasks {
		if r.Tasks[i].State == state {
			n++
		}
	}
	return n
}
