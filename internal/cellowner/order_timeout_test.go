package cellowner

import (
	"testing"
	"time"

	"gentianstand/internal/adaptivetimeout"
)

// Answers take 3 ms; then the instance is short of CPU and they take 100 ms. The timeout must
// follow within its bounds, so that late answers do not count as lost orders.
func TestOrderTimeoutFollowsUsualAnswers(t *testing.T) {
	p := adaptivetimeout.New(orderTimeoutSettings)
	for range 100 {
		p.ObserveAnswer(3 * time.Millisecond)
	}
	if got := p.Limit(); got != orderTimeoutSettings.Min {
		t.Errorf("limit %v with answers of 3 ms, want %v", got, orderTimeoutSettings.Min)
	}
	for range 15 {
		p.ObserveAnswer(100 * time.Millisecond)
	}
	if got := p.Limit(); got != orderTimeoutSettings.Max {
		t.Errorf("limit %v with answers of 100 ms, want %v", got, orderTimeoutSettings.Max)
	}
	for range 200 {
		p.ObserveAnswer(3 * time.Millisecond)
	}
	if got := p.Limit(); got != orderTimeoutSettings.Min {
		t.Errorf("limit %v after the slow phase, want %v", got, orderTimeoutSettings.Min)
	}
}
