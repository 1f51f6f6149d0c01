package cell

import "time"

// Settings are the figures of one cell. The platform's bounds give most of
// them; the rest are named below with their reasons.
type Settings struct {
	// Term is the fencing token of this ownership; it rises with each owner.
	Term uint64
	// Lease is how far a worker's lease is extended with each look.
	Lease time.Duration
	// PreviousOwnerStopped says that the earlier owner is known to extend no lease any
	// more, because its process ended or it gave the cell up.
	PreviousOwnerStopped bool
	// StopGrace is the longest time a stop may take on the worker.
	StopGrace time.Duration
	// SpareWorkers is how many idle workers are kept ready at least; idle workers
	// beyond are parked. 0 parks none.
	SpareWorkers int
	// RemoteDataFactor is how many times as long a task takes far from its data; 0 and 1 mean
	// that this makes no difference.
	RemoteDataFactor float64
	// EarlyStart is how much before its time an occurrence may start.
	EarlyStart time.Duration
	// Disabled names the mechanisms that are switched off.
	Disabled MechanismSet
	// ObserveWait is told how long a task has waited for its first start, with the priority
	// of its queue; nil is nobody. It is called under the cell's lock.
	ObserveWait func(priority int, wait time.Duration)
}

const (
	// maxClockDrift is how much slower than ours a worker's steady clock may run;
	// the platform promises 2%.
	maxClockDrift = 0.02
	// expiryMargin is added when a lease is taken as over, for rounding to whole
	// milliseconds and late timers.
	expiryMargin = 50 * time.Millisecond
	// clockEstimateError is how much later than meant a lease can end because an earlier
	// owner guessed the worker's clock from an old report.
	clockEstimateError = 150 * time.Millisecond
	// overtakenOwnerLimit is how long an overtaken owner may go on extending leases: it
	// stops when nobody confirmed its ownership for this long.
	overtakenOwnerLimit = 1500 * time.Millisecond
	// maxReportAge is how old a worker's last report may be for new starts. A
	// report comes at least every longLook; a missed one means trouble.
	maxReportAge = 1500 * time.Millisecond
	// maxPollWait and shortLook bound how long a worker may hold the answer to a look.
	// Shorter costs looks, longer delays the news of a stalled task, of a lost
	// look and the lease.
	maxPollWait = time.Second
	minPollWait = 300 * time.Millisecond
	// pollSlack is added to the time at which the next end is expected.
	pollSlack = 150 * time.Millisecond
	// unlistedGrace keeps a worker in the books that vanished from the roster but still
	// answers, and usable if its entry lapsed in an outage of the store: those return
	// within 2 s.
	unlistedGrace = 4 * time.Second
	// ticketMargin is taken off a ticket's validity for the way to the worker.
	ticketMargin = 250 * time.Millisecond
	// runsPerTerm spaces the run numbers of successive owners, so that a new
	// owner's runs are higher than any that an old one ordered unseen.
	runsPerTerm = 32
)
