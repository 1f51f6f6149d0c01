package planner

import (
	"time"

	"gentianstand/internal/run"
	"gentianstand/internal/spec"
)

// Summary describes a run without its tasks, as shown to operators.
type Summary struct {
	ID          string    `json:"id"`
	Workload    string    `json:"workload"`
	Kind        spec.Kind `json:"kind"`
	Team        string    `json:"team"`
	State       run.State `json:"state"`
	Reason      string    `json:"reason,omitempty"`
	SubmittedAt time.Time `json:"submitted_at"`
	FinishedAt  time.Time `json:"finished_at,omitzero"`
	Tasks       int       `json:"tasks"`
	Pending     int       `json:"pending"`
	Assigned    int       `json:"assigned"`
	Running     int       `json:"running"`
	Succeeded   int       `json:"succeeded"`
	Failed      int       `json:"failed"`
}

func summarize(e *entry) Summary {
	r := e.run
	s := Summary{
		ID: r.ID, Workload: r.Workload.Name, Kind: r.Workload.Kind, Team: r.Workload.Team,
		State: r.State, Reason: r.Reason, SubmittedAt: r.SubmittedAt, FinishedAt: r.FinishedAt, Tasks: len(r.Tasks),
	}
	if !r.State.Final() && e.pending > 0 {
		s.Reason = e.reason
	}
	for i := range r.Tasks {
		switch t := &r.Tasks[i]; t.State {
		case run.TaskPending:
			s.Pending++
		case run.TaskAssigned:
			s.Assigned++
			if t.Reported {
				s.Running++
			}
		case run.TaskSucceeded:
			s.Succeeded++
		case run.TaskFailed, run.TaskUnknown:
			s.Failed++
		}
	}
	return s
}
