package cell

import (
	"testing"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// Failure: a lasting task that ended by itself did not run any more, and its job was shown
// as completed.
func TestLongRunningTaskThatEndsAsDoneIsRestarted(t *testing.T) {
	s := newReportedSite(t, usualWorker("a"))
	r := s.longRunningRecord(1, 2000)
	o := s.startOne(r)
	s.report("a")
	s.finish(o, runner.Done)
	again, ok := s.reportAndPlan("a")[o.Start.Task]
	if !ok || again.Start.Run <= o.Start.Run {
		t.Errorf("not started again: %+v", again)
	}
	s.commit()
	if state, _ := s.cell.State(r.ID); state != job.Running {
		t.Errorf("the job is shown as %s", state)
	}
}

// Failure: a gang of lasting tasks that ended by itself did not run any more.
func TestLongRunningGangThatEndsAsDoneIsRestarted(t *testing.T) {
	s := newReportedSite(t, usualWorker("a"))
	r := s.longRunningRecord(1, 2000)
	r.Steps[0].Gang, r.Steps[0].Count = true, 2
	starts := s.startTasks(r)
	s.report("a")
	for _, o := range starts {
		s.finish(o, runner.Done)
	}
	again := s.reportAndPlan("a")
	if len(again) != 2 {
		t.Fatalf("%d of 2 members started again", len(again))
	}
	for task, o := range again {
		if o.Start.Run <= starts[task].Start.Run {
			t.Errorf("%s started again with run %d", task, o.Start.Run)
		}
	}
}

// Failure: a lasting task was started again while a run of it went on.
func TestLongRunningTaskThatEndsAsDoneHasOneRun(t *testing.T) {
	s := newReportedSite(t, usualWorker("a"), usualWorker("b"))
	o := s.startOne(s.longRunningRecord(1, 2000))
	other := "a"
	if o.Worker.ID == "a" {
		other = "b"
	}
	s.report(o.Worker.ID)
	s.end(other, o.Start.Task, 0, runner.Done)
	if starts := s.reportAndPlan("a", "b"); len(starts) > 0 {
		t.Errorf("started beside a run that goes on: %v", starts)
	}
}
