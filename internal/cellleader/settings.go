package cellleader

import "time"

const (
	// pingPeriod is how often the owner is pinged by each other instance.
	pingPeriod = 250 * time.Millisecond
	// pingTimeout bounds a ping; calls between instances take about 3 ms.
	pingTimeout = 350 * time.Millisecond
	// silentLimit is how long the owner may be silent. Three pings in a row have
	// failed then; a pause of the runtime or a busy processor takes less.
	silentLimit = 900 * time.Millisecond
	// refusalsEnough pings that are refused in a row, refusedPause apart, make an owner
	// count as gone after refusedLimit: one refusal may come from a restart of less
	// than that.
	refusalsEnough = 2
	refusedPause   = 100 * time.Millisecond
	refusedLimit   = 300 * time.Millisecond
	// refusedHeard is heardLately for an owner that refuses connections. Each instance
	// pings it every pingPeriod, so another one that reaches it has heard it within.
	refusedHeard = pingPeriod
	// storelessLimit is how long the store may not serve the owner while it serves
	// the asking instance. In a store that is 60 times slower some call is answered
	// every 0.3 s, and a take-over there, which reads everything, takes 2.6 s.
	storelessLimit = 600 * time.Millisecond
	// storeBackWithin is within how long of one another instances notice that the
	// store is back: 0.1 s were seen.
	storeBackWithin = 300 * time.Millisecond
	// stagger spaces the attempts of the instances, in an order that changes with
	// every term, so that one of them usually takes over alone.
	stagger = 120 * time.Millisecond
	// firstCandidates are spaced by stagger; the others follow them closely, so
	// that among hundreds of instances the last does not wait for half a minute.
	firstCandidates = 8
	crowdStagger    = 5 * time.Millisecond
	// weakDelay is added for instances that are weaker than the strongest one. Load
	// pattern: nine of ten instances lose power for 2.5 s; one with a quarter of the
	// processor and a twentieth of the link took over and needed 5.3 s to hear 350
	// workers, where a strong one needs 0.2 s and was back 0.7 s later.
	weakDelay = 2 * time.Second
	// claimSample is how many others are asked for the claim where the store cannot
	// be read. One in three of them knowing it is enough to hear of it at once.
	claimSample = 8
	// heardLately is how lately another instance must have heard the owner for
	// this one to believe that it is itself the one that is cut off.
	heardLately = 700 * time.Millisecond
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
	// handOverTimeout bounds the hand-over of a stopping owner.
	handOverTimeout = 1500 * time.Millisecond
)
