package cellleader

import "time"

const (
	// pingInterval is how often the owner is pinged by each of the first frequentPingers
	// instances in the order of succession. Each of the others pings it every slowPingInterval,
	// as there may be hundreds of them.
	pingInterval     = 125 * time.Millisecond
	slowPingInterval = 500 * time.Millisecond
	frequentPingers  = 3
	// linkFreshFor is how long after a frame of the owner over a link the instances late in the
	// order of succession do not ping it. The owner polls each worker at least every second, and an
	// instance is the relay of several workers.
	linkFreshFor = slowPingInterval
	// ownerPingTimeout bounds a ping of the owner, and pingTimeout a ping of any other instance.
	// Calls between instances take milliseconds, and longer at an instance that is short of CPU.
	ownerPingTimeout = 200 * time.Millisecond
	pingTimeout      = 350 * time.Millisecond
	// baseOwnerTimeout is how long the owner may be unresponsive. By then two consecutive pings
	// have failed, the second over a new connection, and no other instance has seen the owner for
	// ownerSeenWithin.
	baseOwnerTimeout = 500 * time.Millisecond
	// shortOwnershipLimit is how long an owner needs at most to reach all workers, on a small machine
	// and in a slow store. An owner that is unresponsive earlier may still be doing that. After
	// this time the count of short ownerships starts again at 0.
	shortOwnershipLimit = 10 * time.Second
	// maxDoublings bounds how often the timeout doubles with repeated takeovers: up to 8 s.
	maxDoublings = 4
	// responseFactor times its slowest answer within responseWindow is the least time for which
	// an owner may be unresponsive, up to maxOwnerTimeout.
	responseFactor  = 3
	responseWindow  = 5 * time.Second
	maxOwnerTimeout = baseOwnerTimeout << maxDoublings
	// lateAnswerTimeout bounds a ping that waits for its answer beyond ownerPingTimeout, to find
	// out whether the owner is alive and how slow it is. Only one such ping is in progress at a
	// time, because more would add to the load of a busy owner.
	lateAnswerTimeout = 2 * time.Second
	// vacancyTimeout is how long the holder of a new claim may not know of it, because a slow
	// store takes time to answer.
	vacancyTimeout = 900 * time.Millisecond
	// minStoreUptime is how long the store must have served an instance for it to conclude, if
	// most other instances do not answer, that they are unavailable and that it is not cut off
	// itself.
	minStoreUptime = 900 * time.Millisecond
	// minRefusals consecutive refused pings, refusedPause apart, make an owner count as gone
	// after refusedTimeout. A single refusal may come from a restart that takes less than that.
	minRefusals    = 2
	refusedPause   = 100 * time.Millisecond
	refusedTimeout = 300 * time.Millisecond
	// refusedSeenWithin is used instead of ownerSeenWithin for an owner that refuses connections.
	// The frequent pingers ping it every pingInterval, so an instance that reaches the owner has
	// seen it within that time.
	refusedSeenWithin = 250 * time.Millisecond
	// storeLossTimeout is how long the owner may fail to reach the store while the store serves
	// the pinging instance. Even in a slow store some call is answered more often than that. A
	// takeover reads everything and takes long.
	storeLossTimeout = 600 * time.Millisecond
	// storeRecoverySkew is the maximum difference between the times at which instances notice
	// that the store is available again.
	storeRecoverySkew = 300 * time.Millisecond
	// stagger is the delay between the takeover attempts of instances. Their order changes with
	// every term. Usually one of them takes over alone.
	stagger = 120 * time.Millisecond
	// staggeredCandidates is the number of instances whose attempts are stagger apart. Those of
	// the others are lateStagger apart, so that the last of hundreds of instances does not wait
	// for 30 s.
	staggeredCandidates = 8
	lateStagger         = 5 * time.Millisecond
	// weakDelay is added for instances that are weaker than the strongest one. If most instances
	// lose power for a moment, a weak one would take over, and it needs longer to reach all
	// workers than a strong one needs to restart.
	weakDelay = 2 * time.Second
	// claimSampleSize is the number of instances that are asked for the claim if the store cannot
	// be read. The sample usually succeeds at once even if only 1 in 3 instances knows the claim.
	claimSampleSize = 8
	// ownerSeenWithin is how recently another instance must have seen the owner for this one to
	// conclude that it is cut off itself: three pings of a frequent pinger. It is less than
	// baseOwnerTimeout by more than pingInterval, so that instances that lose the owner at the
	// same time do not wait for each other.
	ownerSeenWithin = 350 * time.Millisecond
	// confirmationTTL is how long a confirmation of the ownership is valid. Package cell relies
	// on it: see supersededOwnerLimit there.
	confirmationTTL = 1500 * time.Millisecond
	// unreachedLimit is how long after a takeover other instances count as possible supporters of the
	// previous owner if they have not learned of the takeover. It allows for two announcements.
	// If half of the instances are gone, tasks of unresponsive workers wait for that much longer, and
	// long-running ones must run again within 7 s.
	unreachedLimit = time.Second
	// predecessorLimit is how long after a takeover a previous owner may act at most.
	predecessorLimit = unreachedLimit + confirmationTTL
	// minSuspension is the shortest suspension that voids the confirmations. It covers the error of
	// the measurement, and is short beside confirmationTTL.
	minSuspension = 50 * time.Millisecond
	// verifyInterval is how often the owner reads its own claim.
	verifyInterval = 750 * time.Millisecond
	// askAfter is how long after the start of the last read of its claim an owner asks the other
	// instances, every askInterval, whether they know of a later one: when the next read has taken
	// long, and so early that their answers arrive before that read counts no longer.
	askAfter    = confirmationTTL - pingTimeout
	askInterval = 400 * time.Millisecond
	// minAnnouncePause is the pause after the first announcement of a claim that not all instances have
	// answered. It doubles with each further one up to maxAnnouncePause, as an instance that is gone may
	// be listed for a minute.
	minAnnouncePause = 100 * time.Millisecond
	maxAnnouncePause = time.Second
	// storeTimeout bounds one call to the store about the ownership.
	storeTimeout = time.Second
	// minOwnership is how long an owner keeps the cell at least before it hands the cell over to
	// a stronger instance, and in any case until no previous owner can act any more.
	minOwnership = confirmationTTL
	// flushTimeout bounds the last writes of a stopping owner. No task starts until a successor
	// has taken over, and leases expire meanwhile.
	flushTimeout = 300 * time.Millisecond
	// directoryRefreshTimeout bounds the read of the list of instances before a hand-over.
	directoryRefreshTimeout = 250 * time.Millisecond
	// handOverTimeout bounds the calls to successors after the flush.
	handOverTimeout = 1500 * time.Millisecond
)
