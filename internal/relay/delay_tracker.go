package relay

import "time"

// delayTracker estimates how much longer than usual a request was in transit, from the wall
// clocks of both ends. The clocks differ, so the shortest delay of the last two windows is
// the baseline. A relay that was suspended must not carry out orders that its owner has
// long abandoned. Its monotonic clock may have stopped during the suspend and cannot show
// the gap.
type delayTracker struct {
	minDelay, previousMin time.Duration
	windowStart           time.Time
}

// excess returns how late a request is that was sent at the given time of the sender's
// clock.
func (d *delayTracker) excess(sent, now time.Time) time.Duration {
	delay := now.Sub(sent)
	switch {
	case d.windowStart.IsZero():
		d.minDelay, d.previousMin, d.windowStart = delay, delay, now
	case now.Sub(d.windowStart) > delayWindow || now.Before(d.windowStart):
		// After a clock step the baseline is correct again within two windows.
		d.previousMin, d.minDelay, d.windowStart = d.minDelay, delay, now
	}
	d.minDelay = min(d.minDelay, delay)
	return delay - min(d.minDelay, d.previousMin)
}
