// Package health distinguishes workers on which everything fails from workloads
// that fail everywhere. A failing worker is always free, so without quarantine
// it would attract all tasks.
package health

import "time"

// Rules for quarantine.
const (
	// blameAfter is the number of failures on a worker, without a success in
	// between, that put it into quarantine. Only failures that blame counts are
	// considered.
	blameAfter = 3
	// minQuarantine is the duration of the first quarantine; it doubles with
	// each further one.
	minQuarantine = 30 * time.Second
	maxQuarantine = time.Hour
)

// Tracker tracks the health of workers and workloads. It is not safe for
// concurrent use.
type Tracker struct {
	workers   map[string]*workerHealth
	workloads map[string]map[string]bool
	// succeeded holds workloads that have succeeded somewhere.
	succeeded map[string]bool
}

type workerHealth struct {
	// failed counts the failures of each workload since the last success.
	failed      map[string]int
	until       time.Time
	backoff     time.Duration
	onProbation bool
}

// NewTracker returns a Tracker on which all workers are healthy.
func NewTracker() *Tracker {
	return &Tracker{workers: map[string]*workerHealth{}, workloads: map[string]map[string]bool{}, succeeded: map[string]bool{}}
}

// RecordSuccess records a task that succeeded. It clears the worker and also
// the workload, because one that succeeds somewhere is not faulty.
func (t *Tracker) RecordSuccess(worker, workload string) {
	delete(t.workers, worker)
	delete(t.workloads, workload)
	t.succeeded[workload] = true
}

// RecordFailure records a failed task and reports whether the worker is now in
// quarantine.
//
// A workload that has failed on several workers is itself faulty, so its
// failures are not counted against a worker. Otherwise the worker is
// quarantined after blameAfter failed tasks without a success in between. A
// worker on probation is quarantined at the first failure.
func (t *Tracker) RecordFailure(worker, workload string, now time.Time) bool {
	failedOn := t.workloads[workload]
	if failedOn == nil {
		failedOn = map[string]bool{}
		t.workloads[workload] = failedOn
	}
	failedOn[worker] = true
	s := t.healthOf(worker)
	s.failed[workload]++
	if s.onProbation || t.blame(s) >= blameAfter {
		t.quarantine(s, now)
		return true
	}
	return false
}

// blame counts the failures that count against a worker: those of workloads
// that succeed elsewhere, or, if at least 2 workloads failed here, all that are
// not explained by a faulty workload. A single workload that failed only here
// may be faulty but not yet have been tried elsewhere.
func (t *Tracker) blame(s *workerHealth) int {
	all, proven, workloads := 0, 0, 0
	for workload, times := range s.failed {
		if len(t.workloads[workload]) > 1 {
			continue
		}
		workloads++
		all += times
		if t.succeeded[workload] {
			proven += times
		}
	}
	if workloads > 1 {
		return all
	}
	return proven
}

func (t *Tracker) quarantine(s *workerHealth, now time.Time) {
	s.backoff = min(max(2*s.backoff, minQuarantine), maxQuarantine)
	s.until = now.Add(s.backoff)
	s.onProbation = true
	s.failed = map[string]int{}
}

// Quarantined reports whether the worker must get no tasks at now.
func (t *Tracker) Quarantined(worker string, now time.Time) bool {
	s, ok := t.workers[worker]
	return ok && now.Before(s.until)
}

// OnProbation reports whether the worker is on probation after a quarantine: it
// gets one task at a time until one succeeds.
func (t *Tracker) OnProbation(worker string) bool {
	s, ok := t.workers[worker]
	return ok && s.onProbation
}

// FailsEverywhere reports whether the workload has failed on several workers
// without succeeding anywhere.
func (t *Tracker) FailsEverywhere(workload string) bool { return len(t.workloads[workload]) > 1 }

func (t *Tracker) healthOf(worker string) *workerHealth {
	s, ok := t.workers[worker]
	if !ok {
		s = &workerHealth{failed: map[string]int{}}
		t.workers[worker] = s
	}
	return s
}
