package job

import "time"

// typicalAdviceWorkers is the size of a usual question to the placement adviser, in workers.
const typicalAdviceWorkers = 30

// Objective returns how long the job may take to be in time, from the caller's own
// estimates: the longest chain of its steps, stretched, and the target of its queue.
func (r *Record) Objective() time.Duration {
	return time.Duration(r.Stretch*float64(r.criticalPath())) + r.Target
}

// criticalPath returns how long the longest criticalPath of steps takes if all tasks start at once.
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

// LongRunning reports whether some step of the job runs until it is cancelled.
func (r *Record) LongRunning() bool {
	for i := range r.Steps {
		if r.Steps[i].LongRunning {
			return true
		}
	}
	return false
}
