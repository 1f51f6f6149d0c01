package cell

import "time"

const (
	// outageGap is for how long there is no news of any worker when the store is away:
	// all of them renew their entries every second or two.
	outageGap = 2 * time.Second
	// lapsesAfter is how long after an outage entries may be found to have lapsed in it.
	lapsesAfter = 4 * time.Second
)

// rosterNews tells whether entries of workers lapse because the store was away for all.
// Only workers whose entries lapse in an outage are used without one: one that is cut off
// alone cannot say that its room has shrunk or that it drains.
type rosterNews struct {
	lastAt   time.Time
	outageAt time.Time
}

// came takes in that there is news of workers.
func (n *rosterNews) came(now time.Time) {
	if !n.lastAt.IsZero() && now.Sub(n.lastAt) >= outageGap {
		n.outageAt = now
	}
	n.lastAt = now
}

// inOutage reports whether an entry that is found to have lapsed did so in an outage.
func (n *rosterNews) inOutage(now time.Time) bool {
	return !n.outageAt.IsZero() && now.Sub(n.outageAt) < lapsesAfter
}
