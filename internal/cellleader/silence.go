package cellleader

import "time"

// silence is what an instance knows of an owner that does not answer it.
type silence struct {
	// from is when it answered last, or since when it should have.
	from time.Time
	// refusals is how many pings in a row were refused.
	refusals int
}

// limits returns how long the owner may be silent, and how lately another instance
// must have heard it for this one to be the one that is cut off.
//
// What can go wrong: an owner that crashed is missed for 0.9 s, in which no task
// starts. Its machine refuses connections at once, while one that is slow, paused or
// cut off is silent; so refusals count sooner. They prove nothing, because a cut may
// refuse, too: the successor treats the earlier owner as one that may still act.
func (s silence) limits() (silent, heard time.Duration) {
	if s.refusals >= refusalsEnough {
		return refusedLimit, refusedHeard
	}
	return silentLimit, heardLately
}
