// Package health tells workers that fail everything from work that fails
// everywhere. A failing worker is always free, so without this it would
// attract all tasks.
package health

import "time"

// The rules of the board.
const (
	// blameAfter failures of different workloads in a row, each of which has
	// not failed elsewhere, take a worker out.
	blameAfter = 3
	// quarantineFirst is the first time out; it doubles with each more.
	quarantineFirst = 30 * time.Second
	quarantineMost  = time.Hour
)

// Board keeps the standing of workers and workloads. It is not safe for
// concurrent use.
type Board struct {
	workers   map[string]*standing
	workloads map[string]map[string]bool
	// good holds workloads that have succeeded somewhere.
	good map[string]bool
}

type standing struct {
	// failed holds the workloads of the failures since the last success.
	failed  map[string]int
	until   time.Time
	backoff time.Duration
	trial   bool
}

// NewBoard returns a Board on which everybody is in good standing.
func NewBoard() *Board {
	return &Board{workers: map[string]*standing{}, workloads: map[string]map[string]bool{}, good: map[string]bool{}}
}

// Succeeded notes a task that ended well. It clears the worker, and the
// workload too: what succeeds somewhere is not bad work.
func (b *Board) Succeeded(worker, workload string) {
	delete(b.workers, worker)
	delete(b.workloads, workload)
	b.good[workload] = true
}

// Failed notes a failed task and reports whether the worker is now out.
//
// A workload that has failed on several workers is a bad job: its failures
// say nothing about a worker. Otherwise the worker is blamed once failures of
// blameAfter tasks have come in a row without a success in between.
func (b *Board) Failed(worker, workload string, now time.Time) bool {
	failedOn := b.workloads[workload]
	if failedOn == nil {
		failedOn = map[string]bool{}
		b.workloads[workload] = failedOn
	}
	failedOn[worker] = true
	s := b.standingOf(worker)
	s.failed[workload]++
	if s.trial || b.blame(s) >= blameAfter {
		b.quarantine(s, now)
		return true
	}
	return false
}

// blame counts the failures on a worker that speak against it: those of
// workloads that work elsewhere, or all that are not explained by bad jobs if
// at least two workloads failed here. One workload failing in one place only
// may as well be a bad job that has not been tried elsewhere yet.
func (b *Board) blame(s *standing) int {
	all, proven, workloads := 0, 0, 0
	for workload, times := range s.failed {
		if len(b.workloads[workload]) > 1 {
			continue
		}
		workloads++
		all += times
		if b.good[workload] {
			proven += times
		}
	}
	if workloads > 1 {
		return all
	}
	return proven
}

func (b *Board) quarantine(s *standing, now time.Time) {
	s.backoff = min(max(2*s.backoff, quarantineFirst), quarantineMost)
	s.until = now.Add(s.backoff)
	s.trial = true
	s.failed = map[string]int{}
}

// Out reports whether the worker must get nothing at now.
func (b *Board) Out(worker string, now time.Time) bool {
	s, ok := b.workers[worker]
	return ok && now.Before(s.until)
}

// Trial reports whether the worker is back on probation: one task at a time
// until one succeeds.
func (b *Board) Trial(worker string) bool {
	s, ok := b.workers[worker]
	return ok && s.trial
}

// BadJob reports whether the workload has failed on several workers without
// succeeding anywhere.
func (b *Board) BadJob(workload string) bool { return len(b.workloads[workload]) > 1 }

func (b *Board) standingOf(worker string) *standing {
	s, ok := b.workers[worker]
	if !ok {
		s = &standing{failed: map[string]int{}}
		b.workers[worker] = s
	}
	return s
}
