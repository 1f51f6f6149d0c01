package planner

import (
	"time"

	"gentianstand/internal/resource"
	"gentianstand/internal/run"
	"gentianstand/internal/spec"
	"gentianstand/internal/worker"
)

// entry is a run in the planner's memory.
type entry struct {
	run *run.Run
	// head and chunks tell what has changed since the last write.
	head   bool
	chunks map[int]bool
	// stored is how many chunks the table has.
	stored int
	// pending counts tasks that wait for a worker.
	pending int
	// inherited says that an earlier planner may have started tasks of the run
	// unwritten in an outage; pending ones wait for recovery.
	inherited bool
	// readySince is when the run's work became ready; reason why it waits.
	readySince time.Time
	reason     string
	// infeasible says that no worker could hold the run, as of fleetVersion.
	infeasible   bool
	fleetVersion int
	// writing says that rows of the run are being written; acks wait for that.
	writing bool
	acks    []ack
	// removed says that the rows of the finished run are to go.
	removed bool
	// waiters are told when the run has been written.
	waiters []func(error)
}

// ack is an ended attempt that its worker may forget once that is kept.
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

// repeatable reports whether a task of the run may be executed once more after
// an attempt whose end is not known.
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

// need is what each task of the run gets: what is declared, or more if tasks
// of this workload have shown to use more.
func (c *Core) need(e *entry) resource.Amount {
	declared := e.run.Workload.Need
	if h, ok := c.history[e.run.Workload.Name]; ok {
		if peak, trust := h.Peak(declared); trust >= minSizeConfidence {
			return declared.Max(peak)
		}
	}
	return declared
}

// minSizeConfidence is how far history must be trusted before it enlarges a task.
const minSizeConfidence = 0.5
