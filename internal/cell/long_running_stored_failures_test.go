package cell

import (
	"testing"

	"gentianstand/internal/runner"
)

// Guards against progress of a long-running job that grows with each failure, until the store
// refuses its row for its size and no progress of any job is stored.
func TestStoredFailuresOfALongRunningTaskAreBounded(t *testing.T) {
	const failures, most = 100, 20
	s := newReportedSite(t, usualWorker("a"))
	o := s.startOne(s.longRunningRecord(1, 2000))
	for n := range failures {
		s.report("a")
		s.runs["a"] = nil
		s.ends["a"] = append(s.ends["a"], runner.End{Sequence: uint64(n + 1), Task: o.Start.Task, Run: o.Start.Run, Kind: runner.Failed})
		var ok bool
		for range 20 {
			if o, ok = s.reportAndPlan("a")[o.Start.Task]; ok {
				break
			}
		}
		if !ok {
			t.Fatalf("the task was not restarted after %d failures", n+1)
		}
		s.confirm(o)
		s.commit()
	}
	task := s.cell.taskByName(o.Start.Task)
	kept := encodeAndDecode(t, task.stage.job.progress()).Stages[0].Tasks[0].FailedRuns
	if len(kept) > most || len(task.failedOn) > most {
		t.Errorf("%d failed runs are stored and %d workers remembered after %d failures, want %d at most", len(kept), len(task.failedOn), failures, most)
	}
}
