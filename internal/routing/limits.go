package routing

import "time"

// The limits of queues, retries and ejection.
const (
	// queuePerSlot bounds the queue of a pool to a multiple of its slots.
	queuePerSlot = 4
	// minQueueLength is the bound of a pool with few slots or none.
	minQueueLength = 16
	// retryRatio is how many retries each request allows for, and
	// retryBurst how many may be saved up.
	retryRatio = 0.1
	retryBurst = 10
	// ejectAfter consecutive failures an upstream gets nothing for a while.
	ejectAfter  = 3
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.2
	// answerGrace is how long the answer of a finished request may take.
	answerGrace = 1500 * time.Millisecond
	// initialLatency stands in until there is a sample.
	initialLatency = 20 * time.Millisecond
)
