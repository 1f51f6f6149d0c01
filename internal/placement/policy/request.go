package policy

import (
	"gentianstand/internal/resource"
	"gentianstand/internal/spec"
)

// Request describes tasks of one workload that need workers.
type Request struct {
	Workload string
	Need     resource.Amount
	// Tasks is the number of tasks to place. Only the gang policy places more than one.
	Tasks  int
	Spread spec.Spread
	// Long means that the tasks may still run when a reservation begins.
	Long bool
	// Avoid, if not nil, reports whether a worker must not be chosen.
	Avoid func(id string) bool
}

// Usable returns the part of a worker's Free and FreeForLong amounts that the request may use.
func (r Request) Usable(free, freeForLong resource.Amount) resource.Amount {
	if r.Long {
		return resource.Amount{
			MilliCPU:     min(free.MilliCPU, freeForLong.MilliCPU),
			MemoryMiB:    min(free.MemoryMiB, freeForLong.MemoryMiB),
			Accelerators: min(free.Accelerators, freeForLong.Accelerators),
		}
	}
	return free
}
