package cellleader

import "time"

// survey is what other instances say of an owner that is silent here.
type survey struct {
	// heard says that one of them heard it lately.
	heard bool
	// asked is how many were asked; reached how many of them answered, or refused
	// the connection.
	asked, reached int
}

// allows reports whether this instance may take the cell over. It may not if the
// owner is heard elsewhere, or if it is more likely that this instance is cut off
// itself: most others are silent, too, and the store has just come back or is away.
//
// What can go wrong: an instance that was cut off for some seconds, alone or with
// some others, returns. Its connections are dead for one more timeout, the owner has
// been silent for longer than any limit, and the store answers; it takes the cell from
// a sound owner. It shows as "ownership_taken" beside a "store_back" of the same
// instance, with "ownership_lost" at an owner that nobody else had missed.
func (s survey) allows(storeGoodFor time.Duration) bool {
	if s.heard {
		return false
	}
	return 2*s.reached > s.asked || storeGoodFor >= storeTrusted
}
