package cellowner

import (
	"testing"
	"time"

	"gentianstand/internal/patience"
)

// Load: answers take 3 ms, then the instance is short of processor and they
// take 100 ms. The wait follows, within its bounds, so that a slow moment is not
// taken for lost orders.
func TestPatienceFollowsUsualAnswers(t *testing.T) {
	p := patience.New(orderPatience)
	for range 100 {
		p.ObserveAnswer(3 * time.Millisecond)
	}
	if got := p.Limit(); got != orderPatience.Min {
		t.Errorf("limit %v with answers of 3 ms, want %v", got, orderPatience.Min)
	}
	for range 15 {
		p.ObserveAnswer(100 * time.Millisecond)
	}
	if got := p.Limit(); got != orderPatience.Max {
		t.Errorf("limit %v with answers of 100 ms, want %v", got, orderPatience.Max)
	}
	for range 200 {
		p.ObserveAnswer(3 * time.Millisecond)
	}
	if got := p.Limit(); got != orderPatience.Min {
		t.Errorf("limit %v after the slow moment, want %v", got, orderPatience.Min)
	}
}
