package boottime

import "time"

// SuspensionMeter measures for how long the machine has been suspended. Times that time.Now returned
// before a suspension appear younger than they are.
type SuspensionMeter struct {
	began          Instant
	beganMonotonic time.Time
}

// NewSuspensionMeter returns a meter that starts at zero.
func NewSuspensionMeter() *SuspensionMeter {
	m := &SuspensionMeter{beganMonotonic: time.Now()}
	m.began = Now()
	return m
}

// Total returns the total duration of the suspensions since the meter was created. It may be less
// than that, but not more, by the time that passes between the readings of the two clocks.
func (m *SuspensionMeter) Total() time.Duration {
	return Now().Sub(m.began) - time.Since(m.beganMonotonic)
}
