package cellpeer

import (
	"math"
	"time"

	"gentianstand/internal/admission"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/jobmemory"
	"gentianstand/internal/resource"
)

// viewMessage returns the message for an admission view.
func viewMessage(v *admission.View) *cellpb.View {
	m := &cellpb.View{Term: v.Term, Arrivals: v.Arrivals, AgeMillis: v.Age.Milliseconds(), JobBytes: v.Jobs.Bytes, JobBytesLimit: v.Jobs.Limit}
	for _, b := range v.Backlogs {
		m.Backlogs = append(m.Backlogs, &cellpb.Backlog{Service: b.Service, Priority: int64(b.Priority),
			WaitMillis: b.Wait.Milliseconds(), ShareWaitMillis: b.ShareWait.Milliseconds(), OverWaitMillis: b.OverWait.Milliseconds()})
	}
	for _, l := range v.Loads {
		m.Loads = append(m.Loads, &cellpb.Load{Service: l.Service, MilliCpu: l.Capacity.MilliCPU, MemoryMib: l.Capacity.MemoryMiB, Accelerators: l.Capacity.Accelerators})
	}
	for _, s := range v.Shares {
		m.Shares = append(m.Shares, &cellpb.Share{Workspace: s.Workspace, MilliJobs: int64(math.Round(s.Jobs * 1000)), WorkMicros: s.Work.Microseconds()})
	}
	return m
}

// ViewFrom returns the admission view of a message. An owner of an earlier version sends only
// backlogs.
func ViewFrom(m *cellpb.View, backlogs []*cellpb.Backlog) admission.View {
	if m == nil {
		m = &cellpb.View{Backlogs: backlogs}
	}
	v := admission.View{Term: m.Term, Arrivals: m.Arrivals, Age: millis(m.AgeMillis), Jobs: jobmemory.Usage{Bytes: m.JobBytes, Limit: m.JobBytesLimit}}
	for _, b := range m.Backlogs {
		v.Backlogs = append(v.Backlogs, admission.Backlog{Service: b.Service, Priority: int(b.Priority), Wait: millis(b.WaitMillis),
			ShareWait: millis(b.ShareWaitMillis), OverWait: millis(b.OverWaitMillis)})
	}
	for _, l := range m.Loads {
		v.Loads = append(v.Loads, admission.Load{Service: l.Service, Capacity: resource.Amount{MilliCPU: l.MilliCpu, MemoryMiB: l.MemoryMib, Accelerators: l.Accelerators}})
	}
	for _, s := range m.Shares {
		v.Shares = append(v.Shares, admission.Share{Workspace: s.Workspace, Jobs: float64(s.MilliJobs) / 1000, Work: time.Duration(s.WorkMicros) * time.Microsecond})
	}
	return v
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
