package cellleader

import "time"

// suspicion is what an instance knows about an unresponsive owner.
type suspicion struct {
	// since is when the owner last answered, or since when it should have answered.
	since time.Time
	// refusals is the number of consecutive pings that were refused.
	refusals int
	// slowestResponse is the slowest recent answer of the owner.
	slowestResponse time.Duration
	// shortOwnerships counts the consecutive owners, this one included, that replaced an owner
	// that was unresponsive after a short ownership. newOwner is true if the ownership of this
	// one has been short, too.
	shortOwnerships uint32
	newOwner        bool
	// storeLoss is what a recent answer, which may have been late, tells about the owner's access
	// to the store.
	storeLoss storeLoss
}

// limits returns how long the owner may be unresponsive, and how recently another instance must
// have seen it for this one to conclude that it is cut off itself. Refused connections count
// sooner than timeouts, because a crash causes them. They prove nothing, as a network partition
// may cause them, too; the successor therefore treats the previous owner as one that may still
// act.
func (s suspicion) limits() (ownerTimeout, seenWithin time.Duration) {
	if s.refusals >= minRefusals {
		return refusedTimeout, refusedSeenWithin
	}
	ownerTimeout = s.timeout()
	return ownerTimeout, ownerTimeout - (baseOwnerTimeout - ownerSeenWithin)
}

// timeout returns how long an owner that does not refuse connections may be unresponsive. An
// owner that answers late under load gets a multiple of its response time. Each takeover after a
// short ownership doubles the timeout: a successor would be as late under the same load, and the
// cell would never recover.
func (s suspicion) timeout() time.Duration {
	doublings := s.shortOwnerships
	if s.newOwner {
		doublings++
	}
	limit := baseOwnerTimeout << min(doublings, maxDoublings)
	return min(max(limit, responseFactor*s.slowestResponse), maxOwnerTimeout)
}
