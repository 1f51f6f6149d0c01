package relay

import "time"

// lateness tells how much longer than usual requests were on their way, from the times of
// day of both ends. Their clocks differ, so the shortest way of the last two windows
// counts as none. A relay that was suspended must not carry out what its owner has long
// given up, and its steady clock may have stood still meanwhile.
type lateness struct {
	shortest, before time.Duration
	since            time.Time
}

// of returns how late a request is that was sent at a time of the sender's clock.
func (l *lateness) of(sent, now time.Time) time.Duration {
	way := now.Sub(sent)
	switch {
	case l.since.IsZero():
		l.shortest, l.before, l.since = way, way, now
	case now.Sub(l.since) > baseWindow || now.Before(l.since):
		// A clock that was set is believed after two windows.
		l.before, l.shortest, l.since = l.shortest, way, now
	}
	l.shortest = min(l.shortest, way)
	return way - min(l.shortest, l.before)
}
