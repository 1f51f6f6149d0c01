package cell

import (
	"testing"
	"time"

	"gentianstand/internal/runner"
)

// startServingAndBestEffort starts a latency-sensitive task with a tail target of 100 ms and a
// best-effort task on one worker, and returns their starts.
func startServingAndBestEffort(t *testing.T, s *site) (serving, bestEffort StartOrder) {
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

// reportTail has the latency-sensitive task report the tail of its response times. It returns the
// throttle percentage that is ordered then, or -1.
func (s *site) reportTail(serving, bestEffort StartOrder, ms float64) int {
	s.t.Helper()
	s.advance(throttleInterval)
	s.runs["a"] = []runner.RunState{
		{Task: serving.Start.Task, Run: serving.Start.Run, Percent: 100, Gauge: ms},
		{Task: bestEffort.Start.Task, Run: bestEffort.Start.Run, Percent: 10},
	}
	s.report("a")
	s.plan()
	for _, o := range s.orders {
		if order, ok := o.(ThrottleOrder); ok {
			s.cell.ThrottleAnswered(order, nil, s.now)
			return order.Throttle.Percent
		}
	}
	return -1
}

// Guards against a service that misses its response times for 4 s without interruption: the
// best-effort task must be throttled before the target is missed, and stopped at the target.
func TestBestEffortTaskIsThrottledBeforeTheTargetIsMissed(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	serving, bestEffort := startServingAndBestEffort(t, s)
	if throttle := s.reportTail(serving, bestEffort, 40); throttle != -1 {
		t.Errorf("throttled to %d at 40%% of the target", throttle)
	}
	if throttle := s.reportTail(serving, bestEffort, 85); throttle != 50 {
		t.Errorf("throttled to %d at 85%% of the target, want 50", throttle)
	}
	if throttle := s.reportTail(serving, bestEffort, 120); throttle != 0 {
		t.Errorf("throttled to %d above the target, want 0", throttle)
	}
}

// Guards against best-effort work that stays stopped and becomes late.
func TestBestEffortTaskContinuesWhenTheTailRecovers(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	serving, bestEffort := startServingAndBestEffort(t, s)
	s.reportTail(serving, bestEffort, 120)
	for want := speedUpStep; want <= 60; want += speedUpStep {
		if throttle := s.reportTail(serving, bestEffort, 30); throttle != want {
			t.Fatalf("throttled to %d, want %d", throttle, want)
		}
	}
	s.finish(serving, runner.Failed)
	s.advance(throttleInterval)
	s.report("a")
	// The latency-sensitive task must not be restarted beside the best-effort one.
	s.cell.SetEvacuating([]string{"a"})
	s.plan()
	for _, o := range s.orders {
		if order, ok := o.(ThrottleOrder); ok && order.Throttle.Percent == 100 {
			return
		}
	}
	t.Error("still throttled although no latency-sensitive task is left")
}

// Guards against treating a best-effort task as throttled although the order did not reach its
// worker.
func TestUnansweredThrottleOrderIsResent(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	serving, bestEffort := startServingAndBestEffort(t, s)
	s.reportTail(serving, bestEffort, 85)
	for _, o := range s.orders {
		if order, ok := o.(ThrottleOrder); ok {
			s.cell.ThrottleAnswered(order, runner.ErrNoAnswer, s.now)
		}
	}
	if throttle := s.reportTail(serving, bestEffort, 85); throttle < 0 || throttle > 50 {
		t.Errorf("throttled to %d after an order without an answer, want 0 to 50", throttle)
	}
}

func TestNextPace(t *testing.T) {
	for _, test := range []struct {
		throttle int
		worst    float64
		want     int
	}{
		{100, 0.5, 100}, {100, 0.7, 100}, {100, 0.8, 50}, {50, 0.9, 25}, {100, 1, 0}, {0, 2, 0},
		{0, 0.5, speedUpStep}, {95, 0.1, 100}, {-1, 0.1, 0},
	} {
		if got := nextSpeed(test.throttle, test.worst); got != test.want {
			t.Errorf("at %d and %.1f of the target: throttled to %d, want %d", test.throttle, test.worst, got, test.want)
		}
	}
}
