package intake

import "testing"

// Failure: an owner that answers late gets a hundred new connections a second.
func TestQuestionsUnderWayAreBounded(t *testing.T) {
	b := newBound(2)
	for n := range 2 {
		if !b.enter() {
			t.Fatalf("there is no place for call %d of two", n+1)
		}
	}
	if b.enter() {
		t.Error("there is a place for a third")
	}
	b.leave()
	if !b.enter() {
		t.Error("a place that was given back is not free")
	}
}
