package cell

import (
	"testing"
	"time"

	"gentianstand/internal/runner"
)

// startServingAndBestEffort starts a serving task with a tail target of 100 ms and a task that
// fills beside it on one worker, and returns their starts.
func startServingAndBestEffort(t *testing.T, s *site) (serving, filling StartOrder) {
	t.Helper()
	s.report("a")
	serve, fill := step(1), step(1)
	serve.LongRunning, serve.TailLatencyTarget = true, 100*time.Millisecond
	fill.BestEffort, fill.Estimate = true, time.Minute
	s.cell.Add(s.record(1, serve, fill), true)
	starts := s.plan()
	for _, o := range starts {
		s.confirm(o)
	}
	return starts["0000000000000001.0.0.0"], starts["0000000000000001.0.1.0"]
}

// reportTail has the serving task report the reportTail of its response times, and returns the
// pace that is ordered then, or -1.
func (s *site) reportTail(serving, filling StartOrder, ms float64) int {
	s.t.Helper()
	s.advance(throttleInterval)
	s.runs["a"] = []runner.RunState{
		{Task: serving.Start.Task, Run: serving.Start.Run, Percent: 100, Gauge: ms},
		{Task: filling.Start.Task, Run: filling.Start.Run, Percent: 10},
	}
	s.report("a")
	s.plan()
	for _, o := range s.orders {
		if pace, ok := o.(ThrottleOrder); ok {
			s.cell.ThrottleAnswered(pace, nil, s.now)
			return pace.Throttle.Percent
		}
	}
	return -1
}

// Failure: a service misses its response times for four seconds on end.
func TestBestEffortTaskIsThrottledBeforeTheTargetIsMissed(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	serving, filling := startServingAndBestEffort(t, s)
	if pace := s.reportTail(serving, filling, 40); pace != -1 {
		t.Errorf("paced to %d at 40%% of the target", pace)
	}
	if pace := s.reportTail(serving, filling, 85); pace != 50 {
		t.Errorf("paced to %d at 85%% of the target, want half", pace)
	}
	if pace := s.reportTail(serving, filling, 120); pace != 0 {
		t.Errorf("paced to %d above the target, want 0", pace)
	}
}

// Failure: filling work stands still for good, and is late.
func TestBestEffortTaskContinuesWhenTheTailRecovers(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	serving, filling := startServingAndBestEffort(t, s)
	s.reportTail(serving, filling, 120)
	for want := speedUpStep; want <= 60; want += speedUpStep {
		if pace := s.reportTail(serving, filling, 30); pace != want {
			t.Fatalf("paced to %d, want %d", pace, want)
		}
	}
	s.finish(serving, runner.Failed)
	s.advance(throttleInterval)
	s.report("a")
	// The serving task is not started again beside the filling one.
	s.cell.SetEvacuating([]string{"a"})
	s.plan()
	for _, o := range s.orders {
		if pace, ok := o.(ThrottleOrder); ok && pace.Throttle.Percent == 100 {
			return
		}
	}
	t.Error("still paced where no serving task is left")
}

// Failure: a filling task is taken as paced although the worker never heard of it.
func TestUnansweredThrottleOrderIsResent(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	serving, filling := startServingAndBestEffort(t, s)
	s.reportTail(serving, filling, 85)
	for _, o := range s.orders {
		if pace, ok := o.(ThrottleOrder); ok {
			s.cell.ThrottleAnswered(pace, runner.ErrNoAnswer, s.now)
		}
	}
	if pace := s.reportTail(serving, filling, 85); pace < 0 || pace > 50 {
		t.Errorf("paced to %d after an order without an answer", pace)
	}
}

func TestNextPace(t *testing.T) {
	for _, test := range []struct {
		pace  int
		worst float64
		want  int
	}{
		{100, 0.5, 100}, {100, 0.7, 100}, {100, 0.8, 50}, {50, 0.9, 25}, {100, 1, 0}, {0, 2, 0},
		{0, 0.5, speedUpStep}, {95, 0.1, 100}, {-1, 0.1, 0},
	} {
		if got := nextSpeed(test.pace, test.worst); got != test.want {
			t.Errorf("pace %d at %.1f of the target: %d, want %d", test.pace, test.worst, got, test.want)
		}
	}
}
