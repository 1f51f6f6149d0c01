package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// restartLimit is the longest time until a long-running task restarts when there is free capacity:
// one request for advice in progress, one more, and the start.
const restartLimit = 3 * time.Second

// firstStartLimit is the same limit for a long-running task that has never run.
const firstStartLimit = 6 * time.Second

const (
	// overloadInterval is an interval between jobs with which more requests for advice come than
	// the slots of longRunningLoad serve.
	overloadInterval = 80 * time.Millisecond
	// normalInterval leaves the slots free for a fifth of the time.
	normalInterval = 140 * time.Millisecond
)

// longRunningLoad returns a load with 5 slots of the adviser, free capacity on all workers, and a
// long-running task that has run for 10 s, from a queue of priority 1.
func longRunningLoad(t *testing.T) (l *load, id string) {
	l = newLoad(t, 8)
	cost := &job.AdviceCost{PerCall: 500 * time.Millisecond, PerWorker: 8 * time.Millisecond, TicketTTL: 2 * time.Second}
	l.advice = map[string]*job.AdviceCost{"watch": cost, "work": cost}
	l.adviser.slots = AdviceSlots{Quick: 2, Any: 5}
	l.runTimeOf = func(id job.TaskID, _ *loadWorker) time.Duration {
		if l.cell.jobs[id.Job].record.Steps[id.Step].LongRunning {
			return time.Hour
		}
		return 200 * time.Millisecond
	}
	id = l.submit("watch", 1, longRunning(1, 0))
	l.run(10*time.Second, nil)
	return l, id
}

// submitEvery advances the time by d and submits a job of a priority in each interval.
func (l *load) submitEvery(every, d time.Duration, priority int) {
	next := l.now
	l.run(d, func() {
		if l.now.Before(next) {
			return
		}
		next = next.Add(every)
		l.submit("work", priority, step(1))
	})
}

// failLongRunning ends the run of a job's only task as failed.
func (l *load) failLongRunning(id string) {
	l.t.Helper()
	task := job.TaskID{Job: id}.String()
	for _, w := range l.workers {
		if r := w.runs[task]; r != nil {
			w.end(task, r.run, runner.Failed)
			return
		}
	}
	l.t.Fatal("the long-running task does not run")
}

// isRunning reports whether a job's only task runs.
func (l *load) isRunning(id string) bool {
	task := job.TaskID{Job: id}.String()
	for _, w := range l.workers {
		if w.runs[task] != nil {
			return true
		}
	}
	return false
}

// Guards against a failed long-running task that is not restarted, although workers are free, while
// other work keeps the adviser busy.
func TestFailedLongRunningTaskIsAskedAboutBesideOtherWork(t *testing.T) {
	for name, priority := range map[string]int{"more urgent": 0, "as urgent": 1, "less urgent": 2} {
		t.Run(name, func(t *testing.T) {
			l, id := longRunningLoad(t)
			l.submitEvery(overloadInterval, 2*time.Second, priority)
			l.failLongRunning(id)
			l.submitEvery(overloadInterval, restartLimit, priority)
			if !l.isRunning(id) {
				l.submitEvery(overloadInterval, 20*time.Second, priority)
				t.Errorf("not restarted within %v; running 20 s later: %t", restartLimit, l.isRunning(id))
			}
		})
	}
}

// Guards against a failed long-running task that is restarted only after a backlog of other work,
// which built up while the adviser was unreachable.
func TestFailedLongRunningTaskIsAskedAboutBeforeABacklog(t *testing.T) {
	l, id := longRunningLoad(t)
	l.submitEvery(normalInterval, 2*time.Second, 1)
	l.adviser.slots.Any -= 5
	l.submitEvery(normalInterval, 4*time.Second, 1)
	l.adviser.slots.Any += 5
	l.failLongRunning(id)
	l.submitEvery(normalInterval, restartLimit, 1)
	if !l.isRunning(id) {
		l.submitEvery(normalInterval, 4*time.Second, 1)
		t.Errorf("not restarted within %v; running 4 s later: %t", restartLimit, l.isRunning(id))
	}
}

// Guards against a new owner that does not restart a long-running task, although workers are free,
// while other work keeps the adviser busy. Its run and worker were lost together with the previous
// owner.
func TestLongRunningTaskOfThePreviousOwnerIsAskedAboutBesideOtherWork(t *testing.T) {
	l, _ := longRunningLoad(t)
	l.submitEvery(overloadInterval, 2*time.Second, 1)
	r := &job.Record{ID: "00000000000000aa", Queue: "watch", Service: "desk", Priority: 1, MaxAttempts: 4,
		AcceptedAt: l.now.Add(-10 * time.Second), Steps: []job.Step{longRunning(1, 0)}, Advice: l.advice["watch"]}
	l.cell.Load(r, nil)
	l.submitEvery(overloadInterval, restartLimit, 1)
	if !l.isRunning(r.ID) {
		l.submitEvery(overloadInterval, 20*time.Second, 1)
		t.Errorf("not restarted within %v; running 20 s later: %t", restartLimit, l.isRunning(r.ID))
	}
}

// Guards against a new long-running task that is not started, although workers are free, while more
// urgent work keeps the adviser busy.
func TestNewLongRunningTaskIsAskedAboutBesideMoreUrgentWork(t *testing.T) {
	l, _ := longRunningLoad(t)
	l.submitEvery(overloadInterval, 2*time.Second, 0)
	id := l.submit("watch", 1, longRunning(1, 0))
	l.submitEvery(overloadInterval, firstStartLimit, 0)
	if !l.isRunning(id) {
		l.submitEvery(overloadInterval, 20*time.Second, 0)
		t.Errorf("not started within %v; running 20 s later: %t", firstStartLimit, l.isRunning(id))
	}
}
