package relay

import "time"

// backoff records how long an instance is not used as a relay after its link was lost.
type backoff struct {
	until time.Time
	// losses is the number of consecutive losses of its link.
	losses int
	// lost is set from a loss until a link has been opened again.
	lost bool
}

// next returns the backoff after another loss of the link. lasted reports that the link was
// open long enough for earlier losses to be ignored.
func (b backoff) next(lasted bool, now time.Time) backoff {
	if lasted {
		b.losses = 0
	}
	pause := maxBackoff
	if b.losses < maxLosses {
		pause = min(minBackoff<<b.losses, maxBackoff)
	}
	return backoff{until: now.Add(pause), losses: b.losses + 1, lost: true}
}
