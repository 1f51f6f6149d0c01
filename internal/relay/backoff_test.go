package relay

import (
	"testing"
	"time"
)

// Guards against a lost relay that is retried at a constant rate: calls are repeatedly
// delayed by 0.2 s.
func TestLostRelayBacksOffExponentially(t *testing.T) {
	now := time.Now()
	var a backoff
	for i, want := range []time.Duration{1, 2, 4, 8, 16, 16, 16, 16, 16, 16, 16, 16} {
		a = a.next(false, now)
		if got := a.until.Sub(now); got != want*time.Second {
			t.Errorf("backoff is %v after %d losses, want %v", got, i+1, want*time.Second)
		}
	}
	if got := a.next(true, now).until.Sub(now); got != minBackoff {
		t.Errorf("backoff is %v after a stable link, want %v", got, minBackoff)
	}
}
