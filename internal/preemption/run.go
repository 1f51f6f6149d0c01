package preemption

import "cmp"

// Run is a run that can be stopped and resumed from a checkpoint.
type Run struct {
	// Lost is the work that its stop loses, in processor-seconds; see Stop.Lost.
	Lost float64
	// OverShare is set if its job is beyond the share of its workspace.
	OverShare bool
	// Repeated is set if an earlier run of the same task was preempted.
	Repeated bool
	// Frees is the number of the demand's tasks that fit on the worker because of the stop.
	Frees int
}

// Before reports whether the run is a better victim than another.
func (r *Run) Before(other *Run) bool { return r.compare(other) < 0 }

// compare orders runs by preference as victims: tasks that were not preempted before, then jobs
// beyond their share, then those with the lowest loss for each task that can start.
func (r *Run) compare(other *Run) int {
	switch {
	case r.Repeated != other.Repeated:
		return falseFirst(r.Repeated)
	case r.OverShare != other.OverShare:
		return -falseFirst(r.OverShare)
	}
	return cmp.Compare(r.Lost*float64(other.Frees), other.Lost*float64(r.Frees))
}

func falseFirst(v bool) int {
	if v {
		return 1
	}
	return -1
}
