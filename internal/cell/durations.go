package cell

import "time"

// durationWeight is the weight of the newest duration in a queue's mean; about
// the last fifteen tasks count.
const durationWeight = 0.07

// durations knows how long the tasks of each queue have really taken. Callers'
// estimates are rough: on some queues they are off by a factor of several.
type durations struct{ mean map[string]time.Duration }

// add takes in how long a run took from its start to its end as done.
func (d *durations) add(queue string, took time.Duration) {
	old, ok := d.mean[queue]
	if !ok {
		d.mean[queue] = took
		return
	}
	d.mean[queue] = old + time.Duration(durationWeight*float64(took-old))
}

// conservative returns the longer of an estimate for a chain of stages and what as many usual
// tasks of the queue take. Late work waits for work that can still be in time, so a job
// whose estimate is far too short would count as late from the start.
func (d *durations) conservative(queue string, estimate time.Duration, stages int) time.Duration {
	return max(estimate, time.Duration(stages)*d.mean[queue])
}
