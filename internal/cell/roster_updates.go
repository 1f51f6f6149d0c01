package cell

import "time"

const (
	// outageGap is for how long there is no news of any worker when the store is away:
	// all of them renew their entries every second or two.
	outageGap = 2 * time.Second
	// outageExpiryWindow is how long after an outage entries may be found to have lapsed in it.
	outageExpiryWindow = 4 * time.Second
)

// rosterUpdates tells whether entries of workers lapse because the store was away for all.
// Only workers whose entries lapse in an outage are used without one: one that is cut off
// alone cannot say that its room has shrunk or that it drains.
type rosterUpdates struct {
	lastAt   time.Time
	outageAt time.Time
}

// record takes in that there is news of workers.
func (u *rosterUpdates) record(now time.Time) {
	if !u.lastAt.IsZero() && now.Sub(u.lastAt) >= outageGap {
		u.outageAt = now
	}
	u.lastAt = now
}

// duringOutage reports whether an entry that is found to have lapsed did so in an outage.
func (u *rosterUpdates) duringOutage(now time.Time) bool {
	return !u.outageAt.IsZero() && now.Sub(u.outageAt) < outageExpiryWindow
}
