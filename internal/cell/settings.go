package cell

import "time"

// Settings configures one cell. The platform's bounds determine most values; the constants
// below state their reasons.
type Settings struct {
	// Term is the fencing token of this ownership. It rises with each owner.
	Term uint64
	// Lease is how far each poll extends a worker's lease.
	Lease time.Duration
	// PreviousOwnerStopped is set if the previous owner is known to extend no more leases,
	// because its process ended or it handed the cell over.
	PreviousOwnerStopped bool
	// PredecessorStopped is set if the last owner is known to have stopped. An owner before it may still
	// give orders, unless the last one had recorded that none does.
	PredecessorStopped bool
	// PreviousOwnerLimit is how long after the takeover the previous owner may give orders at most, if
	// that is not supersededOwnerLimit. It is longer while other instances may confirm that owner.
	PreviousOwnerLimit time.Duration
	// StopGrace is the longest time a worker takes to stop a run.
	StopGrace time.Duration
	// SpareWorkers is the minimum number of idle workers to keep in use. Further idle workers
	// are parked. 0 disables parking.
	SpareWorkers int
	// RemoteDataFactor is how many times longer a task takes when it is remote from its data.
	// 0 and 1 mean that it makes no difference.
	RemoteDataFactor float64
	// EarlyStart is how long before its due time an occurrence may start.
	EarlyStart time.Duration
	// MaxCommitEntries is the maximum number of entries of one transaction for jobs and chunks of known
	// workers. A job that ends takes two: its progress, and the check of its mark. 0 is no limit.
	MaxCommitEntries int
	// MaxCommitBytes is the maximum size of one transaction, and RowBytes that of a value. 0 is no limit.
	MaxCommitBytes int
	RowBytes       int
	// JobBytesLimit is how much memory jobs that have not ended may take; see jobmemory. 0 is no limit.
	JobBytesLimit int64
	// Disabled is the set of disabled mechanisms.
	Disabled MechanismSet
	// ObserveWait, if not nil, is called with a task's wait for its first start and the
	// priority of its queue. The cell's lock is held during the call.
	ObserveWait func(priority int, wait time.Duration)
	// ObserveHeldBack, if not nil, is called at the first start of a stage that was held back for
	// runs of a previous owner, with how long it was. The cell's lock is held during the call.
	ObserveHeldBack func(time.Duration)
}

const (
	// maxClockDrift is how much slower than the owner's clock a worker's monotonic clock may
	// run. The platform guarantees 2%.
	maxClockDrift = 0.02
	// expiryMargin is added to the expiry of a lease, for rounding to whole milliseconds and
	// for late timers.
	expiryMargin = 50 * time.Millisecond
	// clockEstimateError is how much later than intended a lease can end because a previous
	// owner estimated the worker's clock from an old report.
	clockEstimateError = 150 * time.Millisecond
	// supersededOwnerLimit is how long a superseded owner may continue to extend leases if nothing
	// confirms it any more. It stops when its ownership was not confirmed for this long.
	supersededOwnerLimit = 1500 * time.Millisecond
	// maxReportAge is the maximum age of a worker's last report for new starts. Reports arrive
	// at least every maxPollWait, so an older one indicates a problem.
	maxReportAge = 1500 * time.Millisecond
	// maxPollWait and minPollWait bound how long a worker may delay the answer to a poll. A
	// shorter wait costs more polls; a longer one delays the detection of stalled tasks and
	// lost polls, and the extension of the lease.
	maxPollWait = time.Second
	minPollWait = 300 * time.Millisecond
	// pollSlack is added to the time at which the next end is expected.
	pollSlack = 150 * time.Millisecond
	// unlistedGrace is how long a worker that disappeared from the roster but still answers is
	// kept. It also stays usable if its entry expired in an outage of the store; such entries
	// return within 2 s.
	unlistedGrace = 4 * time.Second
	// ticketMargin is subtracted from a ticket's validity for the transfer to the worker.
	ticketMargin = 250 * time.Millisecond
	// runsPerTerm separates the run numbers of successive owners, so that a new owner's run
	// numbers exceed any that a previous owner used without being noticed. A task that is started
	// once per second uses as many in 12 days.
	runsPerTerm = 1 << 20
)
