package relay

import "time"

// delayTracker tells how much longer than usual requests were on their way, from the times of
// day of both ends. Their clocks differ, so the shortest way of the last two windows
// counts as none. A relay that was suspended must not carry out what its owner has long
// given up, and its steady clock may have stood still meanwhile.
type delayTracker struct {
	minDelay, previousMin time.Duration
	windowStart           time.Time
}

// excess returns how late a request is that was sent at a time excess the sender's clock.
func (l *delayTracker) excess(sent, now time.Time) time.Duration {
	way := now.Sub(sent)
	switch {
	case l.windowStart.IsZero():
		l.minDelay, l.previousMin, l.windowStart = way, way, now
	case now.Sub(l.windowStart) > delayWindow || now.Before(l.windowStart):
		// A clock that was set is believed after two windows.
		l.previousMin, l.minDelay, l.windowStart = l.minDelay, way, now
	}
	l.minDelay = min(l.minDelay, way)
	return way - min(l.minDelay, l.previousMin)
}
