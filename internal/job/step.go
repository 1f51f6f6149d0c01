package job

import (
	"time"

	"gentianstand/internal/resource"
)

// Step is a set of equal tasks.
type Step struct {
	// Count is the number of tasks.
	Count int `cbor:"1,keyasint"`
	// Need is what one task occupies on its worker.
	Need resource.Amount `cbor:"2,keyasint"`
	// Estimate is the caller's rough guess of a task's duration.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// DependsOn lists earlier steps whose tasks must all be done first.
	DependsOn []int `cbor:"4,keyasint,omitempty"`
	// Checkpoint says that a stopped task can resume from its last checkpoint.
	Checkpoint bool `cbor:"5,keyasint,omitempty"`
	// Gang says that the tasks work only while all of them run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// RackLocal says that the tasks are much slower on more than one rack.
	RackLocal bool `cbor:"7,keyasint,omitempty"`
	// AllowDuplicates says that copies may run at the same time.
	AllowDuplicates bool `cbor:"8,keyasint,omitempty"`
	// LongRunning says that the tasks run until the job is cancelled.
	LongRunning bool `cbor:"9,keyasint,omitempty"`
	// BestEffort says that the tasks use only processor time that others leave;
	// their processor need does not count against a worker's capacity.
	BestEffort bool `cbor:"10,keyasint,omitempty"`
	// RequiredLabel is a label the worker must carry, or empty.
	RequiredLabel string `cbor:"11,keyasint,omitempty"`
	// DataRack is the rack near the data; other racks are much slower.
	DataRack string `cbor:"12,keyasint,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// MaxPerWorker limits the step's tasks on one worker; 0 is no limit.
	MaxPerWorker int `cbor:"14,keyasint,omitempty"`
	// TailLatencyTarget is the response time that a serving task has to stay below.
	TailLatencyTarget time.Duration `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many tasks may be away at once by the scheduler's doing.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Occupied returns what a task of the step takes from a worker's capacity.
func (s *Step) Occupied() resource.Amount {
	need := s.Need
	if s.BestEffort {
		need.MilliCPU = 0
	}
	return need
}
