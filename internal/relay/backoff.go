package relay

import "time"

// backoff is how long an instance is passed over.
type backoff struct {
	until time.Time
	// losses is how often in a row its link was lost.
	losses int
}

// next returns the avoidance next one more loss of a link. lasted says that the link
// was open for so long that losses before it count no more.
func (a backoff) next(lasted bool, now time.Time) backoff {
	if lasted {
		a.losses = 0
	}
	pause := maxBackoff
	if a.losses < maxLosses {
		pause = min(minBackoff<<a.losses, maxBackoff)
	}
	return backoff{until: now.Add(pause), losses: a.losses + 1}
}
