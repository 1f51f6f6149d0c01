package owner

import (
	"slices"

	"gentianstand/internal/fleet"
	"gentianstand/internal/worker"
)

// Report returns the worker's state as a report to the planner.
func (t *Tracker) Report() fleet.Report {
	inst := t.owned.Instance
	r := fleet.Report{
		Worker: inst.ID, Shard: t.owned.Shard, Epoch: t.owned.Epoch,
		Region: inst.Region, Zone: inst.Zone, Rack: inst.Rack,
		Capacity: t.capacity, State: t.state, Draining: inst.Leaving, Boot: t.boot,
	}
	for _, status := range t.tasks {
		r.Tasks = append(r.Tasks, status)
	}
	for ref, start := range t.start {
		if _, known := t.tasks[ref]; !known {
			r.Tasks = append(r.Tasks, worker.TaskStatus{Ref: ref, Workload: start.Workload, Need: start.Need, Service: start.Service, State: worker.Running})
		}
	}
	return r
}

// Services returns the names of the services with a running replica.
func (t *Tracker) Services() []string {
	var names []string
	for _, status := range t.tasks {
		_, stopping := t.stop[status.Ref]
		if status.Service && status.State == worker.Running && !stopping {
			names = append(names, status.Workload)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// NeedsSync reports whether there is something to send before the next periodic
// sync.
func (t *Tracker) NeedsSync() bool {
	return t.state == fleet.Claiming || len(t.start)+len(t.stop) > 0
}
