package workerspeed

import (
	"math"
	"time"
)

const (
	// queueWeight is the weight of the newest run, so that about the last 200 count.
	queueWeight = 0.005
	// minPriorRuns and maxPriorRuns bound the number of siblings as which the usual duration in a
	// queue counts.
	minPriorRuns, maxPriorRuns = 0.5, 3
	// longDeviation is how much longer than expected a long task takes, as a logarithm (3.5
	// times). Of tasks that spread by a half around their mean, 0.4% do.
	longDeviation = 1.25
	// minLongShare is the share of long tasks from which a queue is known to have some, and
	// minLongRuns the number of runs on which that is based.
	minLongShare = 0.015
	minLongRuns  = 60
)

// queueLevel is the usual duration of a queue's tasks on a typical worker. Jobs of one queue may
// differ, and callers' estimates may be rough: of the durations and of their ratios to the
// estimates it uses that which varies less.
type queueLevel struct {
	runs      int
	absolute  levelEstimate
	relative  levelEstimate
	longShare float64
}

// add records the logarithm of a run's duration on a typical worker.
func (q *queueLevel) add(typical float64, estimate time.Duration, long bool) {
	q.runs++
	weight := max(queueWeight, 1/float64(q.runs))
	q.absolute.add(typical, weight)
	q.relative.add(typical-logOf(estimate), weight)
	share := 0.0
	if long {
		share = 1
	}
	q.longShare += weight * (share - q.longShare)
}

// addLong records a long task of which the duration is not known.
func (q *queueLevel) addLong() {
	q.longShare += max(queueWeight, 1/float64(q.runs+1)) * (1 - q.longShare)
}

// expected returns the logarithm of the usual duration of a task with the given estimate.
func (q *queueLevel) expected(estimate time.Duration) float64 {
	if q.relative.deviation < q.absolute.deviation {
		return q.relative.mean + logOf(estimate)
	}
	return q.absolute.mean
}

// priorRuns returns the number of siblings as which the usual duration in the queue counts: the ratio
// of the variance within a stage to that between stages. deviation is the standard deviation within one.
func (q *queueLevel) priorRuns(deviation float64) float64 {
	total := normalRatio * min(q.relative.deviation, q.absolute.deviation)
	between := total*total - deviation*deviation
	if between <= 0 {
		return maxPriorRuns
	}
	return clamp(deviation*deviation/between, minPriorRuns, maxPriorRuns)
}

// isLong reports whether a task takes much longer than usual.
func (q *queueLevel) isLong(typical float64, estimate time.Duration) bool {
	return q.runs > 0 && typical-q.expected(estimate) > longDeviation
}

func (q *queueLevel) hasLongTasks() bool {
	return q.runs >= minLongRuns && q.longShare >= minLongShare
}

// levelEstimate is a mean and the mean absolute deviation from it.
type levelEstimate struct{ mean, deviation float64 }

func (l *levelEstimate) add(x, weight float64) {
	l.deviation += weight * (math.Abs(x-l.mean) - l.deviation)
	l.mean += weight * (x - l.mean)
}

func clamp(x, low, high float64) float64 { return max(low, min(high, x)) }

func logOf(d time.Duration) float64 { return math.Log(max(d, time.Millisecond).Seconds()) }
