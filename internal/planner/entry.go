package planner

import (
	"time"

	"gentianstand/internal/resource"
	"gentianstand/internal/run"
	"gentianstand/internal/spec"
	"gentianstand/internal/worker"
)

// entry is the planner's in-memory state of a run.
type entry struct {
	run *run.Run
	// head and chunks mark what has changed since the last write.
	head   bool
	chunks map[int]bool
	// stored is the number of chunks in the table.
	stored int
	// pending is the number of tasks that wait for a worker.
	pending int
	// inherited is true if a previous planner may have started tasks of the run
	// during an outage without recording them. Pending tasks of such a run wait
	// for recovery.
	inherited bool
	// readySince is when the run's work became ready; reason is why it waits.
	readySince time.Time
	reason     string
	// infeasible is true if no worker could hold a task of the run, as of
	// fleetVersion.
	infeasible   bool
	fleetVersion int
	// writing is true while rows of the run are being written; acks are held
	// back until then.
	writing bool
	acks    []ack
	// removed is true if the rows of the finished run are to be deleted.
	removed bool
	// waiters are called with the result once the run has been written.
	waiters []func(error)
}

// ack is an ended attempt that its worker may forget once the end has been
// written.
type ack struct {
	worker, boot string
	ref          worker.TaskRef
}

func newEntry(r *run.Run) *entry {
	e := &entry{run: r, chunks: map[int]bool{}}
	for i := range r.Tasks {
		if r.Tasks[i].State == run.TaskPending {
			e.pending++
		}
	}
	return e
}

// repeatable reports whether a task of the run may be executed again after an
// attempt with an unknown outcome.
func (e *entry) repeatable() bool {
	return e.run.Workload.Kind == spec.Service || e.run.Workload.Idempotent
}

func (e *entry) markTaskChanged(index int) { e.chunks[index/run.ChunkSize] = true }

func (e *entry) markAllChanged() {
	e.head = true
	for c := range run.Chunks(len(e.run.Tasks)) {
		e.chunks[c] = true
	}
}

func (e *entry) dirty() bool { return e.head || len(e.chunks) > 0 }

// need returns the resources given to each task of the run: the declared ones,
// or more if earlier tasks of the workload used more.
func (c *Core) need(e *entry) resource.Amount {
	declared := e.run.Workload.Need
	if h, ok := c.history[e.run.Workload.Name]; ok {
		if peak, confidence := h.Peak(declared); confidence >= minSizeConfidence {
			return declared.Max(peak)
		}
	}
	return declared
}

// minSizeConfidence is the confidence in the usage history from which it may
// increase a task's resources.
const minSizeConfidence = 0.5
