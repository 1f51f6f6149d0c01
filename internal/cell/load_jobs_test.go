package cell

import (
	"fmt"
	"time"

	"gentianstand/internal/job"
)

// submit adds a job to the cell and returns its id.
func (l *load) submit(queue string, priority int, steps ...job.Step) string {
	return l.submitFor("", queue, priority, steps...)
}

// submitFor adds a job of a workspace to the cell and returns its id.
func (l *load) submitFor(workspace, queue string, priority int, steps ...job.Step) string {
	l.jobs++
	r := &job.Record{ID: fmt.Sprintf("%016x", l.jobs), Queue: queue, Service: "desk", Workspace: workspace, Priority: priority, MaxAttempts: 4,
		Stretch: 2, Target: 500 * time.Millisecond, AcceptedAt: l.now, Steps: steps, Advice: l.advice[queue]}
	l.submitted[r.ID] = l.now
	l.cell.Add(r, true)
	return r.ID
}
