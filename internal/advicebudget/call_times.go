package advicebudget

import "time"

const (
	// callTimeWeight is the weight of the newest call, so that about the last 10 count.
	callTimeWeight = 0.1
	// maxCallFactor bounds the factor, as a single call that hung tells nothing about the others.
	maxCallFactor = 4
)

// CallTimes learns how much longer calls take than the settings say.
type CallTimes struct{ excess float64 }

// Answered records how long a call took and how long it should have taken.
func (c *CallTimes) Answered(took, usual time.Duration) {
	if usual <= 0 {
		return
	}
	factor := min(max(1, float64(took)/float64(usual)), maxCallFactor)
	c.excess += callTimeWeight * (factor - 1 - c.excess)
}

// Expected returns how long a call takes that should take the given time.
func (c *CallTimes) Expected(usual time.Duration) time.Duration {
	return time.Duration(float64(usual) * (1 + c.excess))
}
