package cellowner

import (
	"testing"
	"time"
)

// Load: answers take 3 ms, then the instance is short of processor and they
// take 100 ms. The wait follows, within its bounds, so that a slow moment is not
// taken for lost orders.
func TestPatienceFollowsUsualAnswers(t *testing.T) {
	var p patience
	for range 100 {
		p.answered(3 * time.Millisecond)
	}
	if got := p.limit(); got != patienceLeast {
		t.Errorf("limit %v with answers of 3 ms, want %v", got, patienceLeast)
	}
	for range 15 {
		p.answered(100 * time.Millisecond)
	}
	if got := p.limit(); got != patienceMost {
		t.Errorf("limit %v with answers of 100 ms, want %v", got, patienceMost)
	}
	for range 200 {
		p.answered(3 * time.Millisecond)
	}
	if got := p.limit(); got != patienceLeast {
		t.Errorf("limit %v after the slow moment, want %v", got, patienceLeast)
	}
}
