package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// endedLoad returns a load whose first job has ended and whose second one still runs.
func endedLoad(t *testing.T) (l *load, ended, going string) {
	l = newLoad(t, 4)
	ended = l.submit("lookup", 0, lookup(2))
	going = l.submit("letters", 2, letters(2))
	l.run(3*time.Second, nil)
	if state, _ := l.cell.State(ended); state != job.Completed {
		t.Fatalf("the first job is %s", state)
	}
	return l, ended, going
}

func TestOnlyJobsThatEndedSomeTimeAgoAreCompacted(t *testing.T) {
	l, ended, going := endedLoad(t)
	if list := l.cell.Compact(time.Minute, l.now, 10); len(list) > 0 {
		t.Errorf("%d jobs are compacted too early", len(list))
	}
	list := l.cell.Compact(time.Second, l.now, 10)
	if len(list) != 1 || list[0].Record.ID != ended || !list[0].Record.Ended || len(list[0].Record.Steps) > 0 ||
		list[0].Progress.Final != job.Completed || len(list[0].Progress.Stages) > 0 {
		t.Fatalf("compacted jobs: %+v", list)
	}
	if state, ok := l.cell.State(ended); state != job.Completed || !ok {
		t.Errorf("the compacted job is shown as %q", state)
	}
	if again := l.cell.Compact(time.Second, l.now, 10); len(again) > 0 {
		t.Error("the job is compacted twice")
	}
	l.cell.CompactFailed(list)
	if again := l.cell.Compact(time.Second, l.now, 10); len(again) != 1 {
		t.Error("the job is not compacted again after it could not be stored")
	}
	l.run(10*time.Second, nil)
	if state, _ := l.cell.State(going); state != job.Completed {
		t.Errorf("the other job is %s", state)
	}
}

// Guards against an owner that crashes, or leaves a task running, when reports and advice for a
// compacted job arrive late.
func TestLateReportsOfACompactedJob(t *testing.T) {
	l, ended, _ := endedLoad(t)
	l.cell.Compact(time.Second, l.now, 10)
	stage := job.StageID{Job: ended}
	l.cell.AdviceAnswered(stage, nil, nil, nil, l.now)
	w := l.workers["w000"]
	task := job.TaskID{Job: ended, Index: 1}.String()
	w.runs[task] = &loadRun{run: 40, began: l.now, endsAt: l.now.Add(time.Hour)}
	w.end("0000000000000001.0.0.0", 41, runner.Done)
	l.run(2*time.Second, nil)
	if _, runs := w.runs[task]; runs {
		t.Error("a run of a job that has ended continues")
	}
	if state, _ := l.cell.State(ended); state != job.Completed {
		t.Errorf("the job is %s", state)
	}
}

// Guards against a compacted job that runs again after a takeover.
func TestCompactedJobsAreReadAsEnded(t *testing.T) {
	r := job.EndedRecord(&job.Record{ID: "00000000000000aa", Queue: "q", Service: "desk"})
	l := newLoad(t, 1)
	l.cell.Load(r, &job.Progress{Final: job.Failed, EndedAtMillis: l.now.UnixMilli()})
	if state, _ := l.cell.State(r.ID); state != job.Failed {
		t.Errorf("read with its progress, the job is shown as %q", state)
	}
	if list := l.cell.Compact(0, l.now.Add(time.Hour), 10); len(list) > 0 {
		t.Error("the job is compacted again")
	}
	other := job.EndedRecord(&job.Record{ID: "00000000000000bb"})
	l.cell.Load(other, nil)
	l.cell.Add(other, false)
	if state, ok := l.cell.State(other.ID); ok {
		t.Errorf("read without progress, the job is shown as %q", state)
	}
}

// Guards against a workspace that exceeds its quota: a job that ended under the previous owner, whose
// clock is behind, is compacted although a worker that has not reported may still run its task.
func TestNoJobIsCompactedWhileItsRunsMayContinueUnreported(t *testing.T) {
	s := newTakenOverSite(t, Settings{Term: 2, Lease: 3500 * time.Millisecond, PreviousOwnerStopped: true})
	ended := s.recordOf("north", 1, step(1))
	s.cell.Load(ended, &job.Progress{Final: job.Cancelled, EndedAtMillis: s.now.Add(-time.Minute).UnixMilli()})
	s.plan()
	s.cell.Compact(4500*time.Millisecond, s.now, 10)
	s.cell.Add(s.recordOf("north", 2, step(3)), true)
	s.advance(watchPeriod)
	if starts := s.plan(); len(starts) != 2 {
		t.Errorf("%d starts beside a run that may continue under a quota of 3, want 2", len(starts))
	}
	s.advance(s.cell.earlierLeaseLimit())
	s.plan()
	if list := s.cell.Compact(4500*time.Millisecond, s.now, 10); len(list) != 1 {
		t.Errorf("%d jobs are compacted after the recovery, want 1", len(list))
	}
}
