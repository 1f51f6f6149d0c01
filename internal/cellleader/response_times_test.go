package cellleader

import (
	"testing"
	"time"
)

func TestSlowestAnswerCountsForAWhile(t *testing.T) {
	began := time.Now()
	var a responseTimes
	if got := a.slowestRecent(began); got != 0 {
		t.Errorf("before any answer: %v", got)
	}
	a.record(300*time.Millisecond, began)
	a.record(5*time.Millisecond, began.Add(time.Second))
	if got := a.slowestRecent(began.Add(responseWindow)); got != 300*time.Millisecond {
		t.Errorf("after %v: %v", responseWindow, got)
	}
	if got := a.slowestRecent(began.Add(responseWindow + 1)); got != 0 {
		t.Errorf("later: %v", got)
	}
	a.record(5*time.Millisecond, began.Add(responseWindow+1))
	if got := a.slowestRecent(began.Add(responseWindow + 2)); got != 5*time.Millisecond {
		t.Errorf("a quick answer after a slow one of long ago: %v", got)
	}
}
