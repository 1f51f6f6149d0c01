package cellleader

import "time"

// survey is what other instances report about an owner that is unresponsive here.
type survey struct {
	// ownerSeen is true if one of them has seen the owner recently.
	ownerSeen bool
	// asked is the number of instances asked, and reached the number of those that answered or
	// refused the connection.
	asked, reached int
}

// allowsTakeOver reports whether this instance may take over the cell. It may not if another
// instance has seen the owner, or if this instance is more likely to be cut off itself: most
// others do not answer, and the store is unavailable or has only just become available. After a
// network partition the old connections of this instance fail for one more timeout.
func (s survey) allowsTakeOver(storeGoodFor time.Duration) bool {
	if s.ownerSeen {
		return false
	}
	return 2*s.reached > s.asked || storeGoodFor >= minStoreUptime
}
