package cell

import "time"

// durationWeight is the weight of the newest duration in a queue's mean, so that about the
// last 15 tasks count.
const durationWeight = 0.07

// durations holds the mean actual task duration of each queue on a typical worker. Callers' estimates are rough:
// on some queues they are off by a factor of several.
type durations struct{ mean map[string]time.Duration }

// add records the time from a run's start to its successful end, divided by the speed factor of its worker.
func (d *durations) add(queue string, took time.Duration) {
	old, ok := d.mean[queue]
	if !ok {
		d.mean[queue] = took
		return
	}
	d.mean[queue] = old + time.Duration(durationWeight*float64(took-old))
}

// conservative returns the longer of an estimate for a chain of stages and the usual duration
// of that many tasks of the queue. Late work waits for work that can still meet its objective,
// so a job with a far too short estimate would otherwise count as late from the start.
func (d *durations) conservative(queue string, estimate time.Duration, stages int) time.Duration {
	return max(estimate, time.Duration(stages)*d.mean[queue])
}
