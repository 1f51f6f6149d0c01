package cell

import "time"

const (
	// outageGap is how long no update of any worker arrives when the store is unavailable.
	// Each worker renews its entry every 1 to 2 seconds.
	outageGap = 2 * time.Second
	// outageExpiryWindow is how long after an outage entries may be found to have expired
	// during it.
	outageExpiryWindow = 4 * time.Second
)

// rosterUpdates detects whether worker entries expired because the store was unavailable to
// all workers. Only workers whose entries expire in such an outage are used without an entry.
// A worker that is cut off alone cannot report that its capacity has shrunk or that it drains.
type rosterUpdates struct {
	lastAt   time.Time
	outageAt time.Time
}

// record notes that updates of workers have arrived.
func (u *rosterUpdates) record(now time.Time) {
	if !u.lastAt.IsZero() && now.Sub(u.lastAt) >= outageGap {
		u.outageAt = now
	}
	u.lastAt = now
}

// duringOutage reports whether an entry that is found to be expired now expired during an
// outage.
func (u *rosterUpdates) duringOutage(now time.Time) bool {
	return !u.outageAt.IsZero() && now.Sub(u.outageAt) < outageExpiryWindow
}
