package intake

import "testing"

// Without the limit, an owner that responds late gets 100 new connections per second.
func TestOwnerCallsAreBounded(t *testing.T) {
	s := newSemaphore(2)
	for n := range 2 {
		if !s.tryAcquire() {
			t.Fatalf("no slot for call %d of 2", n+1)
		}
	}
	if s.tryAcquire() {
		t.Error("a third call got a slot")
	}
	s.release()
	if !s.tryAcquire() {
		t.Error("a released slot is not free")
	}
}
