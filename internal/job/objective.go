package job

import "time"

// typicalAdviceWorkers is the typical number of workers in a call to the placement adviser.
const typicalAdviceWorkers = 30

// Objective returns the job's target duration: the critical path of its steps, from the
// caller's estimates, times the stretch, plus the fixed target of its queue.
func (r *Record) Objective() time.Duration {
	return time.Duration(r.Stretch*float64(r.criticalPath())) + r.Target
}

// CriticalPath returns how long the job takes if all tasks of a step start at once.
func (r *Record) CriticalPath() time.Duration { return r.criticalPath() }

// criticalPath returns the duration of the longest path of dependent steps, if all tasks of a step
// start at once.
func (r *Record) criticalPath() time.Duration {
	ends := make([]time.Duration, len(r.Steps))
	longest := time.Duration(0)
	for i := range r.Steps {
		s := &r.Steps[i]
		for _, before := range s.DependsOn {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += s.Estimate
		if r.Advice != nil {
			ends[i] += r.Advice.Duration(typicalAdviceWorkers)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// LongRunning reports whether any step of the job runs until the job is cancelled.
func (r *Record) LongRunning() bool {
	for i := range r.Steps {
		if r.Steps[i].LongRunning {
			return true
		}
	}
	return false
}
