package cellleader

import (
	"testing"
	"time"
)

func TestSlowestAnswerCountsForAWhile(t *testing.T) {
	began := time.Now()
	var a answers
	if got := a.lately(began); got != 0 {
		t.Errorf("before any answer: %v", got)
	}
	a.note(300*time.Millisecond, began)
	a.note(5*time.Millisecond, began.Add(time.Second))
	if got := a.lately(began.Add(slowFor)); got != 300*time.Millisecond {
		t.Errorf("after %v: %v", slowFor, got)
	}
	if got := a.lately(began.Add(slowFor + 1)); got != 0 {
		t.Errorf("later: %v", got)
	}
	a.note(5*time.Millisecond, began.Add(slowFor+1))
	if got := a.lately(began.Add(slowFor + 2)); got != 5*time.Millisecond {
		t.Errorf("a quick answer after a slow one of long ago: %v", got)
	}
}
