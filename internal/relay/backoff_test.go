package relay

import (
	"testing"
	"time"
)

// Failure: some calls are late by 0.2 s again and again.
func TestLostRelayIsTriedLessAndLessOften(t *testing.T) {
	now := time.Now()
	var a backoff
	for i, want := range []time.Duration{1, 2, 4, 8, 16, 16, 16, 16, 16, 16, 16, 16} {
		a = a.next(false, now)
		if got := a.until.Sub(now); got != want*time.Second {
			t.Errorf("passed over for %v after %d losses, want %v", got, i+1, want*time.Second)
		}
	}
	if got := a.next(true, now).until.Sub(now); got != minBackoff {
		t.Errorf("passed over for %v after a link that lasted, want %v", got, minBackoff)
	}
}
