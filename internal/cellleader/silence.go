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

// limits returns how long the owner may be silent, and how lately another instance must
// have heard it for this one to be the one that is cut off. Refused connections count
// sooner than silence: they are what a crash looks like. They prove nothing, because a cut
// may refuse, too, so the successor treats the earlier owner as one that may still act.
func (s silence) limits() (silent, heard time.Duration) {
	if s.refusals >= refusalsEnough {
		return refusedLimit, refusedHeard
	}
	silent = s.patience()
	return silent, silent - (silentLimit - heardLately)
}

// patience returns how long an owner that does not refuse connections may be silent. An
// owner that answers late under load is given as many times what it takes, and each
// take-over after a short ownership makes the next one twice as hard: a successor would be
// as late beside the same load, and the cell would never come back.
func (s silence) patience() time.Duration {
	doublings := s.hurried
	if s.brief {
		doublings++
	}
	limit := silentLimit << min(doublings, maxDoublings)
	return min(max(limit, slowFactor*s.slowest), patienceMost)
}
