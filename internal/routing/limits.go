package routing

import "time"

// The limits of queues, retries and ejection.
const (
	// queuePerSlot is the maximum number of queued requests of a pool per slot.
	queuePerSlot = 4
	// minQueueLength is the lower limit of the queue bound, for pools with few slots or none.
	minQueueLength = 16
	// retryRatio is the number of retries that each request adds to the retry budget, and
	// retryBurst the maximum of the budget.
	retryRatio = 0.1
	retryBurst = 10
	// ejectAfter is the number of consecutive failures after which an upstream is ejected: it
	// gets no requests for a time that doubles from minEjection to maxEjection.
	ejectAfter  = 3
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// latencyWeight is the weight of a new sample in the moving average of latencies.
	latencyWeight = 0.2
	// answerGrace is how long the answer to a request may take after the worker has reported
	// the request as finished.
	answerGrace = 1500 * time.Millisecond
	// initialLatency is the assumed latency until there is a sample.
	initialLatency = 20 * time.Millisecond
)
