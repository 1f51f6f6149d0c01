package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// reportWithEndLimit has a worker report no more ends than a report may list: the oldest that are
// not acknowledged.
func (s *site) reportWithEndLimit(id string) {
	acked := s.cell.workers[id].ackedEnd
	all := slices.DeleteFunc(s.ends[id], func(e runner.End) bool { return e.Sequence <= acked })
	s.ends[id] = slices.Clone(all[:min(len(all), runner.MaxReportedEnds)])
	s.report(id)
	s.ends[id] = all
}

// small returns a step of tasks of which many fit on one worker.
func small(count int) job.Step {
	st := step(count)
	st.Need.MilliCPU, st.Need.MemoryMiB = 10, 1
	return st
}

// Guards against restarting tasks that have ended: in a store outage a worker has more
// unacknowledged ends than its report lists, so that neither the run nor its end is reported.
func TestRunWhoseEndIsNotReportedYetIsNotLost(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	r := s.record(1, small(runner.MaxReportedEnds+1))
	starts := s.startTasks(r)
	last := starts[fmt.Sprintf("%s.0.0.%d", r.ID, runner.MaxReportedEnds)]
	for n := range runner.MaxReportedEnds {
		s.finish(starts[fmt.Sprintf("%s.0.0.%d", r.ID, n)], runner.Done)
	}
	s.advance(time.Second)
	s.reportWithEndLimit("a")
	s.plan()
	s.finish(last, runner.Done)
	for range 5 {
		s.advance(100 * time.Millisecond)
		s.reportWithEndLimit("a")
		again := s.plan()
		if len(again) > 0 {
			t.Fatalf("started again after it had ended: %v", again)
		}
		for _, order := range s.orders {
			if stop, ok := order.(StopOrder); ok {
				s.cell.StopAnswered(stop, runner.Answer{}, nil, s.now)
			}
		}
	}
	s.advance(supersededOwnerLimit)
	s.cell.Plan(s.now, s.slots)
	s.commit()
	s.reportWithEndLimit("a")
	s.reportWithEndLimit("a")
	s.commit()
	if state, _ := s.cell.State(r.ID); state != job.Completed {
		t.Errorf("the job is %q after the outage, want completed", state)
	}
}

// Guards against a new owner that restarts tasks which have ended on a worker with more ends than
// its report lists.
func TestNewOwnerWaitsForAllEndsOfAWorker(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	r := s.record(1, small(runner.MaxReportedEnds+1))
	for n := range runner.MaxReportedEnds + 1 {
		s.end("a", fmt.Sprintf("%s.0.0.%d", r.ID, n), 1, runner.Done)
	}
	next := newSite(t, 2, usualWorker("a"))
	next.ends = s.ends
	next.cell.Load(r, nil)
	for range 30 {
		next.advance(100 * time.Millisecond)
		next.reportWithEndLimit("a")
		if again := next.plan(); len(again) > 0 {
			t.Fatalf("started again after it had ended: %v", again)
		}
		next.commit()
	}
	if state, _ := next.cell.State(r.ID); state != job.Completed {
		t.Errorf("the job is %q, want completed", state)
	}
}
