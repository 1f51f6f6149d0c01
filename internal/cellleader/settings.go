package cellleader

import "time"

const (
	// pingPeriod is how often the owner is pinged by each of the eagerPlaces instances
	// that would succeed it first, crowdPeriod how often by each of the others, as there may
	// be hundreds.
	pingPeriod  = 125 * time.Millisecond
	crowdPeriod = 500 * time.Millisecond
	eagerPlaces = 3
	// linkHeardFor is how long an owner that was heard over a link is not pinged by
	// instances that succeed it last: it looks at each worker every second at least, and
	// an instance is the relay of several.
	linkHeardFor = crowdPeriod
	// followTimeout bounds a ping of the owner, pingTimeout one of any other instance;
	// calls between instances take milliseconds, more at one that is short of processor.
	followTimeout = 200 * time.Millisecond
	pingTimeout   = 350 * time.Millisecond
	// silentLimit is how long the owner may be silent. Two pings in a row, the second
	// one over a new connection, have failed then, and no other instance has heard it
	// for heardLately.
	silentLimit = 500 * time.Millisecond
	// briefOwnership is how long an owner needs at most to hear all workers, on a small
	// machine and in a slow store; one that is silent before may be at that yet. After it
	// the next silence counts as one of its own.
	briefOwnership = 10 * time.Second
	// maxDoublings bounds how much harder a take-over gets: 8 s.
	maxDoublings = 4
	// slowFactor times its slowest answer of the last slowFor is what an owner may be
	// silent for at least, up to patienceMost.
	slowFactor   = 3
	slowFor      = 5 * time.Second
	patienceMost = silentLimit << maxDoublings
	// lateTimeout is how long the answer to a ping is waited for after followTimeout,
	// to learn that the owner lives and how slow it is. One such ping is under way at a
	// time: more would load a busy owner further.
	lateTimeout = 2 * time.Second
	// vacantLimit is how long the holder of a new claim may not know of it, as the answer
	// of a slow store takes time.
	vacantLimit = 900 * time.Millisecond
	// storeTrusted is how long the store must have served an instance that most others
	// do not answer for it to believe that they are away, and not itself.
	storeTrusted = 900 * time.Millisecond
	// refusalsEnough pings that are refused in a row, refusedPause apart, make an owner
	// count as gone after refusedLimit: one refusal may come from a restart of less
	// than that.
	refusalsEnough = 2
	refusedPause   = 100 * time.Millisecond
	refusedLimit   = 300 * time.Millisecond
	// refusedHeard is heardLately for an owner that refuses connections. The eager
	// instances ping it every pingPeriod, so one that reaches it has heard it within.
	refusedHeard = 250 * time.Millisecond
	// storelessLimit is how long the store may not serve the owner while it serves
	// the asking instance. In a slow store some call is answered more often than that, and a
	// take-over, which reads everything, takes long.
	storelessLimit = 600 * time.Millisecond
	// storeBackWithin is within how long of one another instances notice that the
	// store is back.
	storeBackWithin = 300 * time.Millisecond
	// stagger spaces the attempts of the instances, in an order that changes with
	// every term, so that one of them usually takes over alone.
	stagger = 120 * time.Millisecond
	// firstCandidates are spaced by stagger; the others follow them closely, so
	// that among hundreds of instances the last does not wait for half a minute.
	firstCandidates = 8
	crowdStagger    = 5 * time.Millisecond
	// weakDelay is added for instances that are weaker than the strongest one. Load
	// pattern: most instances lose power for a moment; a weak one takes over, and needs
	// longer to hear all workers than a strong one needs to come back.
	weakDelay = 2 * time.Second
	// claimSample is how many others are asked for the claim where the store cannot
	// be read. One in three of them knowing it is enough to hear of it at once.
	claimSample = 8
	// heardLately is how lately another instance must have heard the owner for
	// this one to believe that it is itself the one that is cut off: three pings of an
	// eager one. Less than silentLimit by more than pingPeriod, so that instances that
	// lost the owner at the same time do not wait for one another.
	heardLately = 350 * time.Millisecond
	// confirmedFor is how long a confirmation of the ownership lasts. The cell
	// counts on it: see overtakenFor there.
	confirmedFor = 1500 * time.Millisecond
	// verifyPeriod is how often the owner reads its own row.
	verifyPeriod = time.Second
	// storeTimeout bounds one call to the store about the ownership.
	storeTimeout = time.Second
	// yieldAfter is how long an owner keeps the cell at least before it hands it over
	// to a stronger instance: until no owner before it can act any more.
	yieldAfter = confirmedFor
	// flushTimeout bounds the last writes of a stopping owner. Nothing is started until a
	// successor has taken over, and leases run out meanwhile.
	flushTimeout = 300 * time.Millisecond
	// handOverTimeout bounds the questions to successors after them.
	handOverTimeout = 1500 * time.Millisecond
)
