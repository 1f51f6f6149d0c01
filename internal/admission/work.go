package admission

import (
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/resource"
)

// Work is an amount of each resource times the seconds for which it is needed.
type Work struct{ CPU, Memory, Accelerators float64 }

// WorkOf returns the work of all tasks of a job, by its caller's estimates. Long-running and
// scheduled jobs count as none: neither is refused, and their work does not end or is not due.
func WorkOf(r *job.Record) Work {
	var sum Work
	if r.Schedule != nil {
		return sum
	}
	for i := range r.Steps {
		s := &r.Steps[i]
		if !s.LongRunning {
			sum = sum.Add(s.Occupied(), time.Duration(s.Count)*s.Estimate)
		}
	}
	return sum
}

// Add returns the work plus an amount that is needed for d.
func (w Work) Add(need resource.Amount, d time.Duration) Work {
	s := d.Seconds()
	return Work{w.CPU + float64(need.MilliCPU)*s, w.Memory + float64(need.MemoryMiB)*s, w.Accelerators + float64(need.Accelerators)*s}
}

// Plus returns the sum of two works.
func (w Work) Plus(o Work) Work {
	return Work{w.CPU + o.CPU, w.Memory + o.Memory, w.Accelerators + o.Accelerators}
}

// On returns how long the work takes on a given capacity, by its scarcest resource.
func (w Work) On(capacity resource.Amount) time.Duration {
	seconds := max(w.CPU/float64(max(1, capacity.MilliCPU)), w.Memory/float64(max(1, capacity.MemoryMiB)))
	if capacity.Accelerators > 0 {
		seconds = max(seconds, w.Accelerators/float64(capacity.Accelerators))
	}
	return time.Duration(seconds * float64(time.Second))
}
