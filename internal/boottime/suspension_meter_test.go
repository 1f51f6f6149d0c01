package boottime

import (
	"testing"
	"time"
)

func TestSuspensionMeterCountsOnlyTheTimeThatTheMonotonicClockLacks(t *testing.T) {
	const suspended = 3 * time.Second
	m := NewSuspensionMeter()
	if total := m.Total(); total >= suspended {
		t.Errorf("%v without a suspension", total)
	}
	m.began -= Instant(suspended)
	if total := m.Total(); total < suspended-time.Second {
		t.Errorf("%v after a suspension of %v", total, suspended)
	}
}
