package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// crashWorkersUnder crashes the workers of a long-running task one after the other, each some time
// after the task started there, and returns the state of its job.
func crashWorkersUnder(t *testing.T, crashes int, after time.Duration) job.State {
	t.Helper()
	s := newReportedSite(t, manyWorkers(8)...)
	r := s.longRunningRecord(1, 2000)
	s.cell.Add(r, true)
	starts := s.plan()
	for range crashes {
		o, ok := starts[r.ID+".0.0.0"]
		if !ok {
			break
		}
		s.confirm(o)
		s.advance(after)
		s.cell.PollFailed(o.Worker.ID, runner.ErrIncarnationGone, s.now)
		s.runs[o.Worker.ID] = nil
		starts = s.reportAndPlan(s.cell.WorkersToPoll()...)
	}
	s.commit()
	state, _ := s.cell.State(r.ID)
	return state
}

// Guards against a long-running job that fails because two workers crash by themselves, each
// shortly after one of its tasks started there.
func TestLongRunningJobDoesNotFailAfterTwoCrashes(t *testing.T) {
	for _, after := range []time.Duration{150 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond} {
		if state := crashWorkersUnder(t, 2, after); state != job.Running {
			t.Errorf("after two crashes, each %v after a start, the job is shown as %s", after, state)
		}
	}
}

// Guards against a long-running task that crashes its workers and is restarted without limit.
func TestLongRunningTaskThatCrashesWorkersFails(t *testing.T) {
	for _, test := range []struct {
		crashes int
		after   time.Duration
	}{{2, crashAfter}, {4, 300 * time.Millisecond}} {
		if state := crashWorkersUnder(t, test.crashes, test.after); state != job.Failed {
			t.Errorf("after %d crashes, each %v after a start, the job is shown as %s", test.crashes, test.after, state)
		}
	}
}
