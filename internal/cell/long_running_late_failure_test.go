package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
)

// Guards against jobs that wait for 6 s for a healthy worker because long-running tasks have failed
// on it after a long time.
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
			t.Errorf("long-running tasks fail %s: %d starts of another job, want %d", test.name, starts, test.want)
		}
	}
}
