package intake

import "testing"

// Symptom: an owner that answers late gets a hundred new connections a second.
// Sequence: callers ask for their jobs; each question waits for its timeout.
// Cause: nothing limited how many questions were under way.
func TestQuestionsUnderWayAreBounded(t *testing.T) {
	b := newBound(2)
	if !b.enter() || !b.enter() {
		t.Fatal("there is no place for two")
	}
	if b.enter() {
		t.Error("there is a place for a third")
	}
	b.leave()
	if !b.enter() {
		t.Error("a place that was given back is not free")
	}
}
