// Package estimate corrects declared sizes and run times by what the same work
// did before. Declarations are often far off.
package estimate

import (
	"slices"
	"time"

	"gentianstand/internal/resource"
)

// kept is how many of the latest runs of a workload count.
const kept = 32

// History is what tasks of one workload did. The zero value is empty.
type History struct {
	runTimes []time.Duration
	peaks    []resource.Amount
	// outgrown is the most that a task used above its size while running.
	outgrown resource.Amount
}

// Add notes a finished task.
func (h *History) Add(took time.Duration, peak resource.Amount) {
	h.runTimes = append(h.runTimes, took)
	h.peaks = append(h.peaks, peak)
	if len(h.runTimes) > kept {
		h.runTimes = h.runTimes[1:]
		h.peaks = h.peaks[1:]
	}
}

// Outgrown notes what a running task uses above what it was given. It counts
// in full at once: waiting for more tasks to outgrow helps nobody.
func (h *History) Outgrown(used resource.Amount) { h.outgrown = h.outgrown.Max(used) }

// RunTime returns a run time that most tasks stay below, and how far to trust
// it from 0 to 1. Without history it is the declared time, trusted little.
func (h *History) RunTime(declared time.Duration) (time.Duration, float64) {
	n := len(h.runTimes)
	if n == 0 {
		return declared, declaredTrust
	}
	sorted := slices.Clone(h.runTimes)
	slices.Sort(sorted)
	high := sorted[(n*9)/10]
	trust := float64(n) / float64(n+trustHalf)
	if n < trustHalf {
		high = max(high, declared)
	}
	return high, trust
}

// Peak returns the highest usage seen and the same measure of trust.
func (h *History) Peak(declared resource.Amount) (resource.Amount, float64) {
	n := len(h.peaks)
	if n == 0 && h.outgrown.IsZero() {
		return declared, declaredTrust
	}
	if !h.outgrown.IsZero() {
		return declared.Max(h.outgrown), 1
	}
	var peak resource.Amount
	for _, p := range h.peaks {
		peak = peak.Max(p)
	}
	return peak, float64(n) / float64(n+trustHalf)
}

// How far a mere declaration is trusted, and after how many runs history is
// trusted by half.
const (
	declaredTrust = 0.2
	trustHalf     = 4
)
