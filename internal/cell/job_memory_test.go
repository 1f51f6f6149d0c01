package cell

import (
	"fmt"
	"runtime"
	"testing"

	"gentianstand/internal/job"
	"gentianstand/internal/jobmemory"
	"gentianstand/internal/resource"
)

// Guards against an estimate that is lower than what jobs take, so that their limit does not hold.
func TestEstimatedMemoryCoversJobs(t *testing.T) {
	const jobs = 20
	for _, shape := range []struct{ steps, tasks, dependencies int }{{1, 1, 0}, {2, 8, 1}, {1, job.MaxTasks, 0}, {job.MaxSteps, 1, 0}, {job.MaxSteps, 1, job.MaxSteps}} {
		s := newSite(t, 1)
		var records []*job.Record
		estimated := int64(0)
		before := heapBytes()
		for n := range jobs {
			r := &job.Record{ID: fmt.Sprintf("%016x", n), Queue: "q", Service: "desk", AcceptedAt: s.now}
			for i := range shape.steps {
				step := job.Step{Count: shape.tasks, Need: resource.Amount{MilliCPU: 1}}
				for before := range min(i, shape.dependencies) {
					step.DependsOn = append(step.DependsOn, before)
				}
				r.Steps = append(r.Steps, step)
			}
			s.cell.Add(r, true)
			estimated += jobmemory.Of(r)
			records = append(records, r)
		}
		if used := heapBytes() - before; used > estimated {
			t.Errorf("%+v: %d jobs take %d bytes, estimated are %d", shape, jobs, used, estimated)
		}
		if got := s.cell.AdmissionView(s.now.Add(viewPeriod)).Jobs.Bytes; got != estimated {
			t.Errorf("%+v: the view has %d bytes, want %d", shape, got, estimated)
		}
		runtime.KeepAlive(records)
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
