package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
)

// Failure: jobs waited for 6 s beside a sound worker on which lasting tasks had failed.
func TestLateFailuresOfLongRunningTasksDoNotCountAgainstTheWorker(t *testing.T) {
	for _, test := range []struct {
		name   string
		atWork time.Duration
		want   int
	}{
		{"after a long time", 10 * time.Second, 1},
		{"soon", 300 * time.Millisecond, 0},
	} {
		w := newLongRunningWorld(t, avoidAfterFailures)
		w.run(test.atWork)
		for n := range avoidAfterFailures {
			w.fail(w.record(n, job.Step{}).ID)
		}
		w.report("a")
		short := w.record(9, step(1))
		w.cell.Add(short, true)
		starts := 0
		for _, start := range w.plan() {
			if start.Task.Job == short.ID {
				starts++
			}
		}
		if starts != test.want {
			t.Errorf("lasting tasks fail %s: %d starts of another job, want %d", test.name, starts, test.want)
		}
	}
}
