package job

import (
	"time"

	"gentianstand/internal/resource"
)

// Step is a set of identical tasks.
type Step struct {
	// Count is the number of tasks.
	Count int `cbor:"1,keyasint"`
	// Need is the amount of resources that one task requests on its worker.
	Need resource.Amount `cbor:"2,keyasint"`
	// Estimate is the caller's rough estimate of a task's duration.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// DependsOn lists the earlier steps whose tasks must all be done before this step
	// starts.
	DependsOn []int `cbor:"4,keyasint,omitempty"`
	// Checkpoint reports that a stopped task can resume from its last checkpoint.
	Checkpoint bool `cbor:"5,keyasint,omitempty"`
	// Gang reports that the tasks make progress only while all of them run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// RackLocal reports that the tasks are much slower if they span more than one rack.
	RackLocal bool `cbor:"7,keyasint,omitempty"`
	// AllowDuplicates permits speculative runs of a task at the same time as the first.
	AllowDuplicates bool `cbor:"8,keyasint,omitempty"`
	// LongRunning reports that the tasks run until the job is cancelled.
	LongRunning bool `cbor:"9,keyasint,omitempty"`
	// BestEffort reports that the tasks use only CPU time that other tasks leave idle. Their
	// CPU request does not count against a worker's capacity.
	BestEffort bool `cbor:"10,keyasint,omitempty"`
	// RequiredLabel is a label that the worker must have, or empty.
	RequiredLabel string `cbor:"11,keyasint,omitempty"`
	// DataRack is the rack closest to the data; on other racks the tasks are much slower.
	DataRack string `cbor:"12,keyasint,omitempty"`
	// Image is the image that the tasks run. Tasks of one image are expected to behave
	// alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// MaxPerWorker limits the number of the step's tasks on one worker; 0 means no limit.
	MaxPerWorker int `cbor:"14,keyasint,omitempty"`
	// TailLatencyTarget is the response time below which a latency-sensitive task must stay.
	TailLatencyTarget time.Duration `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the number of tasks that the scheduler may take down at the same
	// time.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Occupied returns the part of a worker's capacity that a task of the step uses.
func (s *Step) Occupied() resource.Amount {
	need := s.Need
	if s.BestEffort {
		need.MilliCPU = 0
	}
	return need
}
