package cell

import (
	"maps"
	"time"

	"gentianstand/internal/preemption"
)

// Stats counts a cell's decisions since it began and describes its current state, for metrics.
type Stats struct {
	Starts uint64
	Done   uint64
	Failed uint64
	Lost   uint64
	// PoisonJobs counts the jobs that failed because of a poison task.
	PoisonJobs  uint64
	Stops       uint64
	Preemptions uint64
	// PreemptionLost is the work, in processor-seconds, that preemptions were expected to lose.
	PreemptionLost  float64
	Reservations    uint64
	Moves           uint64
	SpeculativeRuns uint64
	// SlackStarts counts the starts on workers of different speed on which the stage has slack,
	// LittleSlackStarts the others on such workers, and FasterWaits the stages that waited for
	// faster workers.
	SlackStarts       uint64
	LittleSlackStarts uint64
	FasterWaits       uint64
	// PreemptionsRefused counts the searches for victims that ended without any, by reason.
	PreemptionsRefused map[preemption.Refusal]uint64
	// CheckpointsNotStored counts the checkpoints that were left out because they exceed a row.
	CheckpointsNotStored uint64
	// RejectedRows is the number of jobs and of chunks of known workers that the store does not take.
	RejectedRows int
	AdviceCalls  uint64
	// TicketsGot counts the tickets that the adviser issued. Of these, TicketsUsed started a task,
	// TicketsExpired expired before they did, and TicketsRefused were refused by the worker.
	// TicketStarts counts the starts with a ticket, as one ticket is valid for several.
	TicketsGot, TicketsUsed, TicketsExpired, TicketsRefused, TicketStarts uint64
	// IdleCoreSeconds sums up the free processors over the time in which tasks waited.
	IdleCoreSeconds float64
	ActiveJobs      int
	// JobBytes is the estimated memory of the active jobs.
	JobBytes     int64
	Workers      int
	Usable       int
	Parked       int
	WaitingTasks int
	// FreeShare is the free share of the usable workers' CPU capacity.
	FreeShare float64
	// FreeMemoryShare is the free share of the usable workers' memory.
	FreeMemoryShare float64
	// SlowWorkers and FastWorkers are the known workers whose speed factor is above and below 1.
	SlowWorkers, FastWorkers int
}

// Stats returns the counts so far and the state at now.
func (c *Cell) Stats(now time.Time) Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.PreemptionsRefused = maps.Clone(c.stats.PreemptionsRefused)
	s.ActiveJobs = len(c.active)
	s.JobBytes = c.jobMemory().Bytes
	s.Workers = len(c.workers)
	s.RejectedRows = len(c.rejectedRows.jobs) + len(c.rejectedRows.chunks)
	s.Parked = c.parkedCount
	for st := range c.waiting {
		s.WaitingTasks += len(st.idle)
	}
	view := c.newPlanView(now)
	s.Usable = len(view.usable)
	s.FreeShare = float64(view.freeMilliCPU) / float64(max(1, view.totalMilliCPU))
	s.FreeMemoryShare = freeMemoryShare(view.usable)
	for _, w := range c.workers {
		switch factor := c.speedFactor(w); {
		case factor > 1:
			s.SlowWorkers++
		case factor < 1:
			s.FastWorkers++
		}
	}
	return s
}

func freeMemoryShare(workers []*worker) float64 {
	free, total := int64(0), int64(0)
	for _, w := range workers {
		free += max(0, w.free().MemoryMiB)
		total += w.Capacity.MemoryMiB
	}
	return float64(free) / float64(max(1, total))
}
