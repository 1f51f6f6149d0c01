package cell

import (
	"testing"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// Guards against a long-running task that is not restarted after it ended by itself, and whose job
// is shown as completed.
func TestLongRunningTaskThatEndsAsDoneIsRestarted(t *testing.T) {
	s := newReportedSite(t, usualWorker("a"))
	r := s.longRunningRecord(1, 2000)
	o := s.startOne(r)
	s.report("a")
	s.finish(o, runner.Done)
	again, ok := s.reportAndPlan("a")[o.Start.Task]
	if !ok || again.Start.Run <= o.Start.Run {
		t.Errorf("not restarted with a later run: %+v", again)
	}
	s.commit()
	if state, _ := s.cell.State(r.ID); state != job.Running {
		t.Errorf("the job is shown as %s, want running", state)
	}
}

// Guards against a gang of long-running tasks that is not restarted after it ended by itself.
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
		t.Fatalf("%d of 2 members were restarted", len(again))
	}
	for task, o := range again {
		if o.Start.Run <= starts[task].Start.Run {
			t.Errorf("%s was restarted with run %d, which is not a later one", task, o.Start.Run)
		}
	}
}

// Guards against restarting a long-running task while a run of it continues: another worker reports
// the end of an older run.
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
		t.Errorf("started while a run continues: %v", starts)
	}
}
