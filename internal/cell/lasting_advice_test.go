package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// restartLimit is the longest time without a lasting task after its end, beside free room:
// a question that is under way, one more, and the start.
const restartLimit = 3 * time.Second

// firstStartLimit is the same for a lasting task that has never run.
const firstStartLimit = 6 * time.Second

const (
	// overloadInterval is a pause between jobs with which more questions come than the lanes
	// of lastingLoad serve.
	overloadInterval = 80 * time.Millisecond
	// normalInterval leaves a fifth of their time free.
	normalInterval = 140 * time.Millisecond
)

// longRunningLoad is a load with five lanes to the adviser, a lasting task of a queue with
// priority 1 that has run for ten seconds, and room on all workers.
func longRunningLoad(t *testing.T) (l *load, lasts string) {
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
	lasts = l.submit("watch", 1, longRunning(1, 0))
	l.run(10*time.Second, nil)
	return l, lasts
}

// submitEvery submits a job of a priority every so often while time passes.
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
	l.t.Fatal("the lasting task does not run")
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

// Failure: a lasting task that had failed was not started again beside free workers while
// other work kept the adviser busy.
func TestFailedLongRunningTaskIsAskedAboutBesideOtherWork(t *testing.T) {
	for name, priority := range map[string]int{"more urgent": 0, "as urgent": 1, "less urgent": 2} {
		t.Run(name, func(t *testing.T) {
			l, lasts := longRunningLoad(t)
			l.submitEvery(overloadInterval, 2*time.Second, priority)
			l.failLongRunning(lasts)
			l.submitEvery(overloadInterval, restartLimit, priority)
			if !l.isRunning(lasts) {
				l.submitEvery(overloadInterval, 20*time.Second, priority)
				t.Errorf("not started again within %v; 20 s later: %t", restartLimit, l.isRunning(lasts))
			}
		})
	}
}

// Failure: a lasting task that had failed while the adviser could not be reached was
// started again only after the work that had come meanwhile.
func TestFailedLongRunningTaskIsAskedAboutBeforeABacklog(t *testing.T) {
	l, lasts := longRunningLoad(t)
	l.submitEvery(normalInterval, 2*time.Second, 1)
	l.adviser.slots.Any -= 5
	l.submitEvery(normalInterval, 4*time.Second, 1)
	l.adviser.slots.Any += 5
	l.failLongRunning(lasts)
	l.submitEvery(normalInterval, restartLimit, 1)
	if !l.isRunning(lasts) {
		l.submitEvery(normalInterval, 4*time.Second, 1)
		t.Errorf("not started again within %v; 4 s later: %t", restartLimit, l.isRunning(lasts))
	}
}

// Failure: a new owner did not start a lasting task again beside free workers, whose run and
// worker were lost with the owner before, while other work kept the adviser busy.
func TestLongRunningTaskOfThePreviousOwnerIsAskedAboutBesideOtherWork(t *testing.T) {
	l, _ := longRunningLoad(t)
	l.submitEvery(overloadInterval, 2*time.Second, 1)
	r := &job.Record{ID: "00000000000000aa", Queue: "watch", Service: "desk", Priority: 1, MaxAttempts: 4,
		AcceptedAt: l.now.Add(-10 * time.Second), Steps: []job.Step{longRunning(1, 0)}, Advice: l.advice["watch"]}
	l.cell.Load(r, nil)
	l.submitEvery(overloadInterval, restartLimit, 1)
	if !l.isRunning(r.ID) {
		l.submitEvery(overloadInterval, 20*time.Second, 1)
		t.Errorf("not started again within %v; 20 s later: %t", restartLimit, l.isRunning(r.ID))
	}
}

// Failure: a lasting task that had never run was not started beside free workers while more
// urgent work kept the adviser busy.
func TestNewLongRunningTaskIsAskedAboutBesideMoreUrgentWork(t *testing.T) {
	l, _ := longRunningLoad(t)
	l.submitEvery(overloadInterval, 2*time.Second, 0)
	lasts := l.submit("watch", 1, longRunning(1, 0))
	l.submitEvery(overloadInterval, firstStartLimit, 0)
	if !l.isRunning(lasts) {
		l.submitEvery(overloadInterval, 20*time.Second, 0)
		t.Errorf("not started within %v; 20 s later: %t", firstStartLimit, l.isRunning(lasts))
	}
}
