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

// allows reports whether this instance may take the cell over. It may not if the owner is
// heard elsewhere, or if it is more likely that this instance is cut off itself: most
// others are silent, too, and the store has just come back or is away. After such a cut
// its old connections stay dead for one more timeout.
func (s survey) allows(storeGoodFor time.Duration) bool {
	if s.heard {
		return false
	}
	return 2*s.reached > s.asked || storeGoodFor >= storeTrusted
}
