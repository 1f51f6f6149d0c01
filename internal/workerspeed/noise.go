package workerspeed

import "math"

const (
	// initialDeviation is the assumed standard deviation of the logarithm of durations of tasks of
	// one stage, until noiseRuns runs have been seen. It includes clipped long tasks.
	initialDeviation = 0.55
	noiseRuns        = 50
	// noiseWeight is the weight of the newest run, so that about the last 10,000 count. While many
	// workers change at once, the spread is larger, which must not hide the change.
	noiseWeight = 0.00003
	// minDeviation bounds the deviation from below: reports and orders take some 5% of the time of
	// a short task, and progress is reported in whole percents.
	minDeviation = 0.15
)

// normalRatio is the ratio of the standard deviation to the mean absolute deviation of a normal
// distribution. Long tasks and workers that have changed raise the latter less.
const normalRatio = 1.2533

// noise is the spread of durations that no worker explains.
type noise struct {
	absolute float64
	runs     float64
}

func newNoise() noise { return noise{absolute: initialDeviation / normalRatio, runs: noiseRuns} }

// add records the deviation of a run from the mean of earlier runs of its worker.
func (n *noise) add(deviation, earlier float64) {
	if earlier < 1 {
		return
	}
	n.runs++
	absolute := math.Abs(deviation) * math.Sqrt(earlier/(earlier+1))
	n.absolute += max(noiseWeight, 1/n.runs) * (absolute - n.absolute)
}

func (n *noise) deviation() float64 { return max(minDeviation, normalRatio*n.absolute) }
