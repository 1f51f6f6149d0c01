package relay

import "time"

// avoidance is how long an instance is passed over.
type avoidance struct {
	until time.Time
	// losses is how often in a row its link was lost.
	losses int
}

// after returns the avoidance after one more loss of a link. lasted says that the link
// was open for so long that losses before it count no more.
func (a avoidance) after(lasted bool, now time.Time) avoidance {
	if lasted {
		a.losses = 0
	}
	pause := avoidMost
	if a.losses < maxLosses {
		pause = min(avoidFirst<<a.losses, avoidMost)
	}
	return avoidance{until: now.Add(pause), losses: a.losses + 1}
}
