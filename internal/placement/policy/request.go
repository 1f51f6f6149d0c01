package policy

import (
	"gentianstand/internal/resource"
	"gentianstand/internal/spec"
)

// Request asks for workers for tasks of one workload.
type Request struct {
	Workload string
	Need     resource.Amount
	// Tasks is how many tasks to place; policies other than gang place one.
	Tasks  int
	Spread spec.Spread
	// Long says that the tasks may still run when a reservation begins.
	Long bool
	// Avoid, if not nil, tells workers that must not be chosen.
	Avoid func(id string) bool
}

// Usable returns what of a worker's free and late amounts the request may use.
func (r Request) Usable(free, late resource.Amount) resource.Amount {
	if r.Long {
		return resource.Amount{
			MilliCPU:     min(free.MilliCPU, late.MilliCPU),
			MemoryMiB:    min(free.MemoryMiB, late.MemoryMiB),
			Accelerators: min(free.Accelerators, late.Accelerators),
		}
	}
	return free
}
