// Package estimate corrects declared resources and run times by the history of
// the same workload. Declarations are often far off.
package estimate

import (
	"slices"
	"time"

	"gentianstand/internal/resource"
)

// maxSamples is the number of latest tasks of a workload that are considered.
const maxSamples = 32

// History holds the run times and resource usage of a workload's tasks. The
// zero value is empty.
type History struct {
	runTimes []time.Duration
	peaks    []resource.Amount
	// overuse is the highest usage of a running task above its declared size.
	overuse resource.Amount
}

// Add records a completed task.
func (h *History) Add(took time.Duration, peak resource.Amount) {
	h.runTimes = append(h.runTimes, took)
	h.peaks = append(h.peaks, peak)
	if len(h.runTimes) > maxSamples {
		h.runTimes = h.runTimes[1:]
		h.peaks = h.peaks[1:]
	}
}

// RecordOveruse records usage of a running task above what it was given. It has
// full confidence at once, because waiting for more tasks to exceed their size
// has no benefit.
func (h *History) RecordOveruse(used resource.Amount) { h.overuse = h.overuse.Max(used) }

// RunTime returns a run time that most tasks do not exceed, and the confidence
// in it from 0 to 1. Without history it is the declared time with low
// confidence.
func (h *History) RunTime(declared time.Duration) (time.Duration, float64) {
	n := len(h.runTimes)
	if n == 0 {
		return declared, declaredConfidence
	}
	sorted := slices.Clone(h.runTimes)
	slices.Sort(sorted)
	high := sorted[(n*9)/10]
	confidence := float64(n) / float64(n+halfConfidenceRuns)
	if n < halfConfidenceRuns {
		high = max(high, declared)
	}
	return high, confidence
}

// Peak returns the highest observed usage and the same measure of confidence.
func (h *History) Peak(declared resource.Amount) (resource.Amount, float64) {
	n := len(h.peaks)
	if n == 0 && h.overuse.IsZero() {
		return declared, declaredConfidence
	}
	if !h.overuse.IsZero() {
		return declared.Max(h.overuse), 1
	}
	var peak resource.Amount
	for _, p := range h.peaks {
		peak = peak.Max(p)
	}
	return peak, float64(n) / float64(n+halfConfidenceRuns)
}

// declaredConfidence is the confidence in a mere declaration.
// halfConfidenceRuns is the number of completed tasks after which the
// confidence in history is 0.5.
const (
	declaredConfidence = 0.2
	halfConfidenceRuns = 4
)
