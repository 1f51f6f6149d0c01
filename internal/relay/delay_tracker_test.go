package relay

import (
	"testing"
	"time"
)

// Guards against a task that starts seconds after its job was cancelled, because a
// suspended relay carries out buffered requests after it resumes.
func TestRequestsThatWaitedForASuspendedRelayAreLate(t *testing.T) {
	began := time.UnixMilli(1_000_000)
	const skew = 700 * time.Millisecond // the clocks of the two ends differ
	var l delayTracker
	for i := range 20 {
		sent := began.Add(time.Duration(i) * 100 * time.Millisecond)
		if late := l.excess(sent, sent.Add(skew+time.Duration(i%3)*time.Millisecond)); late > 2*time.Millisecond {
			t.Fatalf("request %d is %v late", i, late)
		}
	}
	woke := began.Add(6*time.Second + skew)
	for i := range 10 {
		sent := began.Add(2*time.Second + time.Duration(i)*100*time.Millisecond)
		if late := l.excess(sent, woke.Add(time.Duration(i)*time.Millisecond)); late < 3*time.Second {
			t.Errorf("request %d, sent %v before the relay woke, is %v late", i, woke.Add(-skew).Sub(sent), late)
		}
	}
	if late := l.excess(woke.Add(-skew), woke.Add(10*time.Millisecond)); late > 20*time.Millisecond {
		t.Errorf("a new request is %v late", late)
	}
}

// Guards against a relay that refuses all requests permanently after a clock step.
func TestClockStepIsAcceptedAfterAWhile(t *testing.T) {
	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second} {
		began := time.UnixMilli(1_000_000)
		var l delayTracker
		l.excess(began, began)
		late := time.Duration(0)
		for i := range 100 {
			sent := began.Add(time.Duration(i) * 100 * time.Millisecond)
			late = l.excess(sent, sent.Add(step))
		}
		if late != 0 {
			t.Errorf("10 s after a step of %v requests are %v late", step, late)
		}
	}
}
