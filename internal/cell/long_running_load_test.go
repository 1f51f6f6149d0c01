package cell

import (
	"math/rand"
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// Guards against failed long-running tasks that stay down although workers have free capacity:
// other work takes the adviser's slots and the capacity.
func TestFailedLongRunningTasksRestartUnderLoad(t *testing.T) {
	const freeSlots = 3
	for seed := range int64(2) {
		l := newAdvisedLoad(t, freeSlots, seed)
		checker := newDowntimeChecker(l, submitLongRunning(l))
		ticks := 0
		l.run(26*time.Second, func() {
			submitMixed(l)
			if ticks++; ticks%100 == 0 {
				failOneOf(l, checker.jobs)
			}
			checker.check()
		})
		if len(checker.violations) > 0 {
			t.Errorf("seed %d: %d tasks were down although there was free capacity for two: %v", seed, len(checker.violations), checker.violations)
		}
	}
}

// newAdvisedLoad returns a load of 35 workers, of which the adviser allows 30% for a stage, with
// some slots for slow requests.
func newAdvisedLoad(t *testing.T, slots int, seed int64) *load {
	l := newLoad(t, 35)
	l.rnd = rand.New(rand.NewSource(seed))
	const valid = 2 * time.Second
	l.advice = map[string]*job.AdviceCost{
		"watch":  {PerCall: 560 * time.Millisecond, PerWorker: 8 * time.Millisecond, TicketTTL: valid},
		"urgent": {PerCall: 15 * time.Millisecond, PerWorker: time.Millisecond, TicketTTL: valid},
		"slow":   {PerCall: 530 * time.Millisecond, PerWorker: 5 * time.Millisecond, TicketTTL: valid},
		"batch":  {PerCall: 60 * time.Millisecond, PerWorker: 2 * time.Millisecond, TicketTTL: valid},
	}
	l.adviser.slots = AdviceSlots{Quick: 4, Any: slots}
	l.adviser.allowedPercent = 30
	l.runTimeOf = func(id job.TaskID, _ *loadWorker) time.Duration {
		s := l.cell.jobs[id.Job].record.Steps[id.Step]
		if s.LongRunning {
			return time.Hour
		}
		return s.Estimate
	}
	return l
}

// submitLongRunning submits jobs of 6 long-running tasks each, which need from an eighth to three
// quarters of a worker, and returns their ids.
func submitLongRunning(l *load) []string {
	var ids []string
	for i, milliCPU := range []int64{2000, 4000, 4000, 6000, 12000} {
		s := longRunning(6, 0)
		s.Need.MilliCPU = milliCPU
		s.MaxPerWorker = 2 * (i % 2)
		ids = append(ids, l.submit("watch", 1, s))
		l.run(300*time.Millisecond, nil)
	}
	return ids
}

// submitMixed submits work that needs three fifths of the workers' processors on average.
func submitMixed(l *load) {
	submit := func(share float64, queue string, priority, count int, milliCPU int64, estimate time.Duration) {
		if l.rnd.Float64() >= share {
			return
		}
		s := step(count)
		s.Need.MilliCPU, s.Estimate = milliCPU, estimate
		l.submit(queue, priority, s)
	}
	submit(0.09, "urgent", 0, 2, 1000, time.Second)
	submit(0.045, "slow", 1, 4, 2000, 3*time.Second)
	submit(0.027, "batch", 2, 8, 2000, 5*time.Second)
}

// failOneOf ends the runs of a random task of the jobs as failed, if it has any.
func failOneOf(l *load, jobs []string) {
	task := job.TaskID{Job: jobs[l.rnd.Intn(len(jobs))], Index: l.rnd.Intn(6)}.String()
	for _, w := range l.workers {
		if r := w.runs[task]; r != nil {
			w.end(task, r.run, runner.Failed)
		}
	}
}
