package intake

import "testing"

// Failure: an owner that answers late gets a hundred new connections a second.
func TestOwnerCallsAreBounded(t *testing.T) {
	s := newSemaphore(2)
	for n := range 2 {
		if !s.tryAcquire() {
			t.Fatalf("there is no place for call %d of two", n+1)
		}
	}
	if s.tryAcquire() {
		t.Error("there is a place for a third")
	}
	s.release()
	if !s.tryAcquire() {
		t.Error("a place that was given back is not free")
	}
}
