package cellleader

import "time"

// silence is what an instance knows of an owner that does not answer it.
type silence struct {
	// from is when it answered last, or since when it should have.
	from time.Time
	// refusals is how many pings in a row were refused.
	refusals int
	// slowest is the slowest answer of the owner lately.
	slowest time.Duration
	// hurried is how many owners in a row, this one included, followed one that was
	// silent after a short ownership; brief says that this one has just begun, too.
	hurried uint32
	brief   bool
}

// limits returns how long the owner may be silent, and how lately another instance
// must have heard it for this one to be the one that is cut off.
//
// What can go wrong: an owner that crashed is missed late, and no task starts until
// then. Its machine refuses connections at once, while one that is slow, paused or
// cut off is silent; so refusals count sooner. They prove nothing, because a cut may
// refuse, too: the successor treats the earlier owner as one that may still act.
func (s silence) limits() (silent, heard time.Duration) {
	if s.refusals >= refusalsEnough {
		return refusedLimit, refusedHeard
	}
	silent = s.patience()
	return silent, silent - (silentLimit - heardLately)
}

// patience returns how long an owner that does not refuse connections may be silent.
//
// What can go wrong: a burst is more than a small machine's link or processor carries,
// and its owner answers late. Overtaken after the usual time, its successor reads the
// whole cell and hears all workers beside the same burst, is late in turn, and so on;
// runs lapse meanwhile, and the cell does not come back although the load does. It shows as
// "ownership_taken" every second, each with "ownership_lost" of an owner that lives. An owner that answers late
// is therefore given as many times what it takes, and each take-over after a short
// ownership makes the next one twice as hard.
func (s silence) patience() time.Duration {
	doublings := s.hurried
	if s.brief {
		doublings++
	}
	limit := silentLimit << min(doublings, maxDoublings)
	return min(max(limit, slowFactor*s.slowest), patienceMost)
}
